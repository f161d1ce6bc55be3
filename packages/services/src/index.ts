/** Client of plain HTTP services. */
export * from './service_client';
