/** Forwards routed calls from callers through an entry to endpoints. */
export * from './call_forwarder';
export * from './call_types';
export * from './entry_drain';
export * from './capacity_sharing';
export * from './entry_role';
export {computeFingerprint} from './attempt_descriptions';
export * from './crash_watch';
