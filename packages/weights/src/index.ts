/** Client of the weight store. */
export * from './weight_store_client';
