// Package expression implements the expression language of rule files: typed expressions over the facts of one
// request. An expression is compiled once, and its worst-case cost is known before the first request arrives.
//
// The library expr-lang/expr parses, type-checks and evaluates. This package decides which part of the library's
// language a rule may use, bounds what an expression can cost, and words the faults that it reports. It reads no
// files and does no I/O.
//
// Compile takes an expression through these steps:
//
//   - rewriter replaces the names that a rule file defines and rejects what can only be checked at load;
//   - the library checks types and compiles;
//   - costEstimator bounds the cost and the length of the value;
//   - an expression that depends on no request is evaluated once and replaced by its value.
//
// An Evaluator runs compiled programs for one request after another. Predicate conditions over other Go structs,
// such as the trigger conditions of captures, are compiled by CompilePredicate.
package expression
