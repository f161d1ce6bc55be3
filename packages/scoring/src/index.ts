/** Client of scoring services. */
export * from './scoring_client';
