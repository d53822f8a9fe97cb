// Package expression implements the expression language of rule files: typed expressions over the facts of one
// request. An expression is compiled once, and its worst-case cost is known before the first request arrives.
//
// The library expr-lang/expr parses, type-checks and evaluates expressions. This package decides which part of the
// library's language a rule may use, bounds what an expression can cost, and reports faults in terms of the rule. Apart
// from loading time zones, it does no I/O.
//
// Compile takes an expression through these steps:
//
//   - the rewriter replaces the names that a rule file defines and checks what the library does not, such as patterns;
//   - the library checks types and compiles;
//   - the costEstimator bounds the cost and the length of the value;
//   - an expression of constants, operators and the functions seconds and millis is evaluated once and replaced by its
//     value.
//
// An Evaluator runs compiled programs for one request after another. CompilePredicate compiles conditions over other Go
// structs, such as the trigger conditions of captures.
package expression
