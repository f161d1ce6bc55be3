/** Weight versions: the store, and the files that an agent keeps. */
export * from './weight_files';
export * from './weight_store_client';
