package policy

import (
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
	"cel.dev/cel-go/common/types/traits"
	"cel.dev/cel-go/interpreter"

	"valescale/internal/plat/fault"
)

// MaxCost is the maximum estimated cost of one setting's program, in CEL's cost units.
const MaxCost = 2000

// Maximum sizes of a request's parts that the cost estimate assumes. The front enforces them.
const (
	maxTextSize    = 256
	maxHeaderCount = 64
)

// Request contains the properties of a request that a policy's programs can read.
type Request struct {
	Method    string
	Path      string
	Headers   map[string]string
	Model     string
	Stream    bool
	Messages  int64
	Tokens    int64
	Key       string
	Workspace string
	Zone      string
	Hour      int64
}

// variable is a name that programs can use, with its type and the function that reads it.
type variable struct {
	name string
	kind *cel.Type
	read func(*Request) any
}

var variables = []variable{
	{"request.method", cel.StringType, func(r *Request) any { return r.Method }},
	{"request.path", cel.StringType, func(r *Request) any { return r.Path }},
	{"request.headers", cel.MapType(cel.StringType, cel.StringType), func(r *Request) any { return r.Headers }},
	{"request.model", cel.StringType, func(r *Request) any { return r.Model }},
	{"request.stream", cel.BoolType, func(r *Request) any { return r.Stream }},
	{"request.messages", cel.IntType, func(r *Request) any { return r.Messages }},
	{"request.tokens", cel.IntType, func(r *Request) any { return r.Tokens }},
	{"request.key", cel.StringType, func(r *Request) any { return r.Key }},
	{"workspace.name", cel.StringType, func(r *Request) any { return r.Workspace }},
	{"router.zone", cel.StringType, func(r *Request) any { return r.Zone }},
	{"time.hour", cel.IntType, func(r *Request) any { return r.Hour }},
}

// ResolveName returns the value of a variable. It implements interpreter.Activation.
func (r *Request) ResolveName(name string) (any, bool) {
	for i := range variables {
		if variables[i].name == name {
			return variables[i].read(r), true
		}
	}
	return nil, false
}

// Parent returns nil, because a request is the outermost scope. It implements
// interpreter.Activation.
func (r *Request) Parent() interpreter.Activation { return nil }

// newEnv declares the variables and the function value. Unlike indexing, value cannot fail: for a
// header that is absent it returns the empty string.
func newEnv() (*cel.Env, error) {
	options := []cel.EnvOption{
		cel.ClearMacros(),
		cel.Function("value", cel.MemberOverload("map_value_string",
			[]*cel.Type{cel.MapType(cel.StringType, cel.StringType), cel.StringType}, cel.StringType,
			cel.BinaryBinding(headerValue))),
	}
	for _, v := range variables {
		options = append(options, cel.Variable(v.name, v.kind))
	}
	return cel.NewEnv(options...)
}

func headerValue(headers, name ref.Val) ref.Val {
	found, ok := headers.(traits.Mapper).Find(name)
	if !ok {
		return types.String("")
	}
	return found
}

// sizes provides the maximum sizes of a request's parts to CEL's cost estimate.
type sizes struct{}

func (sizes) EstimateSize(node cost.AstNode) *cost.SizeEstimate {
	path := node.Path()
	if len(path) == 0 {
		return nil
	}
	if node.Type().Kind() == types.MapKind {
		return &cost.SizeEstimate{Min: 0, Max: maxHeaderCount}
	}
	return &cost.SizeEstimate{Min: 0, Max: maxTextSize}
}

func (sizes) EstimateCallCost(function, _ string, _ *cost.AstNode, _ []cost.AstNode) *cost.CallEstimate {
	if function != "value" {
		return nil
	}
	size := cost.SizeEstimate{Min: 0, Max: maxTextSize}
	return &cost.CallEstimate{CostEstimate: cost.Estimate{Min: 1, Max: 1}, ResultSize: &size}
}

// program is the compiled CEL expression of one setting.
type program struct {
	source string
	run    cel.Program
	expr   ast.Expr
}

func compileProgram(env *cel.Env, id ID, key, source string, want *cel.Type) (*program, error) {
	const op = "policy.Compile"
	checked, issues := env.Compile(source)
	if issues.Err() != nil {
		return nil, fault.Newf(op, Program, "%s: %s: %v", id, key, issues.Err())
	}
	if !checked.OutputType().IsExactType(want) {
		return nil, fault.Newf(op, Program, "%s: %s: has type %s, want %s", id, key, checked.OutputType(), want)
	}
	estimate, err := env.EstimateCost(checked, sizes{})
	if err != nil {
		return nil, fault.Newf(op, Program, "%s: %s: %v", id, key, err)
	}
	if estimate.Max > MaxCost {
		return nil, fault.Newf(op, Program, "%s: %s: estimated cost %d exceeds the limit of %d", id, key, estimate.Max, MaxCost)
	}
	run, err := env.Program(checked, cel.EvalOptions(cel.OptOptimize), cel.CostLimit(MaxCost))
	if err != nil {
		return nil, fault.Newf(op, Program, "%s: %s: %v", id, key, err)
	}
	return &program{source: source, run: run, expr: checked.NativeRep().Expr()}, nil
}

// literals returns the string constants that a program can return. complete is false if it can also
// return other values.
func (p *program) literals() (values []string, complete bool) {
	return literalsOf(p.expr)
}

func literalsOf(e ast.Expr) ([]string, bool) {
	switch e.Kind() {
	case ast.LiteralKind:
		text, ok := e.AsLiteral().(types.String)
		return []string{string(text)}, ok
	case ast.CallKind:
		call := e.AsCall()
		if call.FunctionName() != operators.Conditional {
			return nil, false
		}
		yes, yesComplete := literalsOf(call.Args()[1])
		no, noComplete := literalsOf(call.Args()[2])
		return append(yes, no...), yesComplete && noComplete
	default:
		return nil, false
	}
}

// evaluate returns the result of a program for a request. It reports false if the program failed.
func evaluate[T ref.Val](p *program, r *Request) (T, bool) {
	out, _, err := p.run.Eval(r)
	if err != nil {
		var none T
		return none, false
	}
	value, ok := out.(T)
	return value, ok
}

// text evaluates a program that returns a string.
func (p *program) text(r *Request) (string, bool) {
	value, ok := evaluate[types.String](p, r)
	return string(value), ok
}

// integer evaluates a program that returns a whole number.
func (p *program) integer(r *Request) (int64, bool) {
	value, ok := evaluate[types.Int](p, r)
	return int64(value), ok
}

// duration evaluates a program that returns a duration.
func (p *program) duration(r *Request) (time.Duration, bool) {
	value, ok := evaluate[types.Duration](p, r)
	return value.Duration, ok
}
