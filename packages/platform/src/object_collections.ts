/**
 * The interface to the platform's store of collections of objects: lists,
 * watches and conditional writes by collection (`kind`) and name. No call
 * throws; a write without an answer fails with `platform-down` and outcome
 * `unknown`, since it may still take effect.
 */
import type {ServiceError} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

export interface CollectionObject {
  readonly name: string;
  /** Increases with each change of the object. */
  readonly version: number;
  readonly value: unknown;
  readonly status: unknown;
}

/** All objects of a collection at one store version. */
export interface CollectionListing {
  readonly objects: readonly CollectionObject[];
  /** Version of the store from which to watch for later changes. */
  readonly storeVersion: number;
}

export interface CollectionChange {
  readonly object: CollectionObject;
  readonly isRemoved: boolean;
}

/** Changes of a collection since a version of the store. */
export interface CollectionChanges {
  readonly changes: readonly CollectionChange[];
  readonly storeVersion: number;
}

export type StoreResult<T> = Promise<Result<T, ServiceError>>;

export interface ListOptions {
  /** Lists only objects whose name sorts after this one. */
  readonly after?: string;
  /** Allows data that is some seconds old; such calls are cheaper. */
  readonly mayBeStale?: boolean;
}

/** Collections of objects in the platform's store. */
export interface ObjectCollections {
  /** Reads one object; returns undefined if it does not exist. */
  readObject(
    kind: string,
    name: string,
  ): StoreResult<CollectionObject | undefined>;
  /** Lists a collection, fetching all pages. */
  listObjects(
    kind: string,
    options?: ListOptions,
  ): StoreResult<CollectionListing>;
  /**
   * Waits up to `waitMs` for changes of a collection after a version of the
   * store. Fails with `history-gone` if the store no longer has all changes
   * since that version.
   */
  watchObjects(
    kind: string,
    storeVersion: number,
    waitMs: number,
  ): StoreResult<CollectionChanges>;
  /** Creates an object; fails with `conflict` if the name exists. */
  createObject(
    kind: string,
    name: string,
    value: unknown,
  ): StoreResult<CollectionObject>;
  /** Replaces an object; fails with `conflict` if its version has changed. */
  replaceObject(
    kind: string,
    name: string,
    value: unknown,
    version: number,
  ): StoreResult<CollectionObject>;
  /** Writes an object's status and leaves its value unchanged. */
  writeStatus(
    kind: string,
    name: string,
    status: unknown,
  ): StoreResult<CollectionObject>;
  /** Removes an object; succeeds if it does not exist. */
  removeObject(kind: string, name: string): StoreResult<void>;
}
