/**
 * What the system needs of the platform's object API where it works with
 * whole kinds of objects: lists, watches and conditional writes by kind and
 * name. Every call ends with a result; a write without an answer fails with
 * `platform-down` and outcome `unknown`, since it may take effect later.
 */
import type {ServiceError} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

/** An object of a kind. */
export interface CollectionObject {
  readonly name: string;
  /** Grows with each change of the object. */
  readonly version: number;
  readonly value: unknown;
  readonly status: unknown;
}

/** All objects of a kind at one moment. */
export interface CollectionListing {
  readonly objects: readonly CollectionObject[];
  /** Version of the whole store to watch from. */
  readonly storeVersion: number;
}

/** A change of one object. */
export interface CollectionChange {
  readonly object: CollectionObject;
  readonly isRemoved: boolean;
}

/** Changes of a kind since a version of the store. */
export interface CollectionChanges {
  readonly changes: readonly CollectionChange[];
  readonly storeVersion: number;
}

/** Result of a call. */
export type StoreResult<T> = Promise<Result<T, ServiceError>>;

/** How a list is read. */
export interface ListOptions {
  /** Names greater than this one only. */
  readonly after?: string;
  /** Whether data that is seconds old will do; such calls are cheap. */
  readonly mayBeStale?: boolean;
}

/** Kinds of objects in the platform's object API. */
export interface ObjectCollections {
  /** Reads one object; undefined when there is none. */
  readObject(
    kind: string,
    name: string,
  ): StoreResult<CollectionObject | undefined>;
  /** Lists a kind, page after page. */
  listObjects(
    kind: string,
    options?: ListOptions,
  ): StoreResult<CollectionListing>;
  /**
   * Waits up to `waitMs` for changes of a kind after a version of the store;
   * fails with `conflict` when that history is gone.
   */
  watchObjects(
    kind: string,
    storeVersion: number,
    waitMs: number,
  ): StoreResult<CollectionChanges>;
  /** Creates an object; `conflict` when the name is taken. */
  createObject(
    kind: string,
    name: string,
    value: unknown,
  ): StoreResult<CollectionObject>;
  /** Replaces an object that still has the version; else `conflict`. */
  replaceObject(
    kind: string,
    name: string,
    value: unknown,
    version: number,
  ): StoreResult<CollectionObject>;
  /** Writes the status beside an object's value. */
  writeStatus(
    kind: string,
    name: string,
    status: unknown,
  ): StoreResult<CollectionObject>;
  /** Removes an object; a missing one counts as removed. */
  removeObject(kind: string, name: string): StoreResult<void>;
}
