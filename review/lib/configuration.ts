/** The operator's configuration of the cases. */

export type RouteFields = Readonly<Record<string, unknown>>;

export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_048_576,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

export function createRolloutRoute(
  name: string,
  host: string,
  prefix: string,
): RouteFields {
  return {
    name,
    host,
    path_prefix: prefix,
    route_kind: 'rollout',
    timeout_ms: 10_000,
    target_latency_ms: 400,
    priority: 0,
    service: 'lm',
    max_attempts: 3,
    retention_s: 60,
    run_deadline_ms: 7_500,
    single_version: false,
  };
}

export function createPlainRoute(
  name: string,
  service: string,
  prefix = '/plain/',
  kind = 'idempotent',
): RouteFields {
  return {
    name,
    host: 'app.example',
    path_prefix: prefix,
    route_kind: kind,
    timeout_ms: 2_000,
    target_latency_ms: 236,
    priority: 2,
    service,
    max_attempts: 2,
  };
}

export function createConfiguration(
  version: number,
  routes: readonly RouteFields[],
  models: readonly string[] = ['m'],
): object {
  return {
    version,
    routes,
    services: [
      {
        name: 'lm',
        health_path: '/health',
        max_connections: 150,
        engine: {
          slots: 4,
          kv_capacity_tokens: 60_000,
          stride: 57,
          models: models.map(name => ({name})),
        },
      },
      {name: 'plain', health_path: '/health', max_connections: 96},
      {name: 'plain-b', health_path: '/health', max_connections: 96},
    ],
    limits: LIMITS,
  };
}
