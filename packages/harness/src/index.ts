/** Processes, systems and clients for the demo, tests and benchmarks. */
export * from './child_process';
export * from './clients';
export * from './demo_plan';
export * from './fleet_links';
export * from './node_status';
export * from './system';
export * from './tcp_relay';
