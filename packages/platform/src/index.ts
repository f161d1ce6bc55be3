/** Clients of the platform and the watches built on them. */
export * from './object_client';
export * from './vm_list_client';
export * from './object_collections';
export * from './collection_watch';
export * from './fleet_source';
export * from './fleet_state';
