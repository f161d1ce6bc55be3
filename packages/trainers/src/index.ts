/** HTTP API for trainers. */
export * from './trainer_backend';
export * from './trainer_routes';
