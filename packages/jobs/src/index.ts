/** Batch jobs: their home, their records in the store, and calls to them. */
export * from './agent_links';
export * from './home_node';
export * from './home_role';
export * from './home_election_runner';
export * from './job_client';
export * from './job_ledger';
export * from './job_messages';
