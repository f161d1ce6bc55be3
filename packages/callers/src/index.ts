/** HTTP API for callers of models and plain services. */
export * from './caller_auth';
export * from './caller_backend';
export * from './caller_routes';
export * from './observed_sink';
