package fleet

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"valescale/internal/oper/admin"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peerpb"
)

// Operator changes the fleet's configuration through the admin service of a router.
type Operator struct {
	Client peerpb.AdminServiceClient
}

// NewOperator returns an operator whose client calls the router with the given admin address.
func NewOperator(client *http.Client, addr string) *Operator {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+OperatorToken)
			return next(ctx, req)
		}
	})
	return &Operator{Client: peerpb.NewAdminServiceClient(client, "http://"+addr, connect.WithInterceptors(auth))}
}

// Apply submits the documents in text as one change and returns its revision.
func (o *Operator) Apply(ctx context.Context, id, text string) (ident.Revision, error) {
	documents, err := policy.Split("fleet.ini", []byte(text))
	if err != nil {
		return 0, err
	}
	reply, err := o.Client.Apply(ctx, connect.NewRequest(&peerpb.ApplyRequest{
		ChangeId: id, Documents: admin.EncodeDocuments(documents), Note: "fleet",
	}))
	if err != nil {
		return 0, err
	}
	if len(reply.Msg.GetProblems()) > 0 {
		return 0, connect.NewError(connect.CodeInvalidArgument, errors.New(reply.Msg.GetProblems()[0].GetMessage()))
	}
	return ident.Revision(reply.Msg.GetRevision()), nil
}
