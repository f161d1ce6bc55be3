/** Batch jobs: the coordinator, the job store, and the client that entries use. */
export * from './agent_links';
export * from './job_coordinator';
export * from './coordinator_role';
export * from './coordinator_election';
export * from './job_client';
export * from './job_store';
export * from './job_messages';
export type {ScoringFormat} from './scoring_caller';
