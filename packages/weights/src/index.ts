/** Client of the weight store, and an agent's local files of weight versions. */
export * from './weight_files';
export * from './weight_store_client';
