/** HTTP towards serving callers. */
export * from './caller_auth';
export * from './caller_backend';
export * from './caller_routes';
export * from './observed_sink';
