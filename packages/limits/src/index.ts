/** Rate limits that endpoints state, kept by all nodes together. */
export * from './endpoint_rates';
export * from './engine_rates';
export * from './keeper_directory';
export * from './limit_messages';
export * from './logged_limits';
export * from './rate_gate';
