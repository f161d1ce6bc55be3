/** Routed calls: from a caller through an entry to an endpoint. */
export * from './call_forwarder';
export * from './call_types';
export * from './entry_role';
export * from './suspicion_broadcaster';
