/** Client of plain services. */
export * from './service_client';
