/** The settings of a route that differ between tests; all others are fixed. */
interface RouteChoice {
  readonly name: string;
  readonly kind: string;
  readonly service: string;
  readonly maxAttempts?: number;
  readonly resumable?: boolean;
  readonly timeoutMs?: number;
  readonly targetLatencyMs?: number;
  readonly isPublic?: boolean;
  readonly priority?: number;
}

/** The settings of a customer that differ between tests. */
interface CustomerChoice {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority?: number;
  /** Tokens per second. */
  readonly rate?: number;
  /** Tokens that may be used at once. */
  readonly burst?: number;
}

/** The settings of all services that differ between tests. */
interface ServiceChoice {
  /** How long a server is slow after its start. */
  readonly coldStartS?: number;
  /** Requests per second that a server takes meanwhile from all entries. */
  readonly coldPerS?: number;
  /** Connections that a server accepts from all entries. */
  readonly maxConnections?: number;
}

const TIMEOUT_MS = 4000;
const PLAIN_TOKENS = 200;
const TARGET_MS = 1000;
const MAX_CONNECTIONS = 100;
const MODELS = ['m1', 'm2', 'm3'];

function tenantOf({ name, keys, priority, rate, burst }: CustomerChoice): object {
  const unit = { unit: 'tokens', plain_tokens: PLAIN_TOKENS };
  return { name, api_keys: keys, priority, ...unit, rate_per_s: rate ?? 0, burst: burst ?? 0 };
}

/** Returns a configuration with a plain service and an engine service whose engines hold two of three models. */
export function configurationOf(
  version: number,
  host: string,
  routes: readonly RouteChoice[],
  customers?: readonly CustomerChoice[],
  { coldStartS = 0, coldPerS = 0, maxConnections = MAX_CONNECTIONS }: ServiceChoice = {},
): object {
  const models = MODELS.map((name) => ({
    name,
    weights_mb: 10,
    load_s: 0.1,
    adapters: 3,
    adapter_mb: 1,
  }));
  return {
    version,
    routes: routes.map((route) => ({
      name: route.name,
      host,
      path_prefix: `/${route.name}/`,
      kind: route.kind,
      timeout_ms: route.timeoutMs ?? TIMEOUT_MS,
      target_latency_ms: route.targetLatencyMs ?? TARGET_MS,
      priority: route.priority ?? 1,
      service: route.service,
      max_attempts: route.maxAttempts ?? 1,
      resumable: route.resumable ?? false,
      public: route.isPublic ?? false,
    })),
    services: [
      {
        name: 'plain',
        max_conns: maxConnections,
        cold_start_s: coldStartS,
        cold_per_s: coldPerS,
      },
      { name: 'other', max_conns: maxConnections },
      {
        name: 'engine',
        max_conns: maxConnections,
        engine: { models, weights_mb: 25, adapter_slots: 2, loads_per_s: 10 },
      },
    ],
    ...(customers && { tenants: customers.map(tenantOf) }),
    limits: {
      max_header_bytes: 2000,
      max_body_bytes: 1000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
  };
}
