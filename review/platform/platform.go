package platform

// Names of the deployment's configuration.
const (
	Host     = "ficu95.example"
	Key      = "n2ctnfzs989anu6wsjnb"
	Tenant   = "hule930"
	Plain    = "tablero-app"
	Engine   = "modelo-jueces"
	Mutating = "/puxa403/"
	Safe     = "/cufi504/"
	Stream   = "/lohu930/"
	Resume   = "/pufi791/"
)

// M is a JSON object.
type M map[string]any

// Config returns a configuration with a mutating and an idempotent route of the plain service, and
// a stream and a resumable stream of the engines, with the times of the sheet.
func Config(version int) M {
	route := func(name, prefix, kind, service string, timeout, slo, attempts int) M {
		return M{
			"Name": name, "Host": Host, "Prefix": prefix, "Type": kind, "TimeoutMs": timeout, "SloMs": slo, "Prio": 1,
			"Service": service, "Attempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	stream := func(name, prefix string, timeout, slo, attempts int, resumable bool) M {
		r := route(name, prefix, "stream", Engine, timeout, slo, attempts)
		r["Resumable"], r["Sticky"], r["ItlTargetMs"] = resumable, true, 300
		return r
	}
	return M{
		"Version": version,
		"Routes": []M{
			route("board-page", Mutating, "mutating", Plain, 1500, 300, 1),
			route("submit-receipt", Safe, "idempotent", Plain, 1500, 300, 2),
			stream("run-review", Stream, 10000, 600, 1, false),
			stream("route-coach", Resume, 8000, 400, 2, true),
		},
		"Services": []M{
			{"Name": Plain, "HealthPath": "/healthz", "MaxConns": 110, "Proto": "h1", "Tls": false},
			{"Name": Engine, "HealthPath": "/healthz", "MaxConns": 370, "Proto": "h1", "Tls": false, "Engine": M{
				"Slots": 64, "KvCap": 444000, "KvBytes": 131072, "Moves": false, "Models": []M{{"Name": "m"}},
			}},
		},
		"Limits":  M{"MaxHdrBytes": 16384, "MaxBodyBytes": 4194304, "HdrTimeoutMs": 3000, "IdleMs": 15000},
		"Tenants": []M{{"Name": Tenant, "ApiKeys": []string{Key}, "Prio": 1}},
	}
}

// PutReplica writes the row of a replica.
func (s *Store) PutReplica(id, service, addr, state string, seq int) {
	slots := 6
	if service == Engine {
		slots = 64
	}
	s.Put("servers", id, M{
		"Service": service, "Addr": addr, "Zone": Zones[0], "Version": "v1", "Slots": slots, "State": state, "ColdLeftMs": 0, "Seq": seq,
	})
}
