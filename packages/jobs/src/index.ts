/** Batch jobs: their home, their records in the store, and calls to them. */
export * from './agent_links';
export * from './job_coordinator';
export * from './coordinator_role';
export * from './coordinator_election';
export * from './job_client';
export * from './job_store';
export * from './job_messages';
