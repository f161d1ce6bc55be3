/**
 * Stores batch jobs in the object API.
 *
 * A job has a small header object named by the job's id. It is created after
 * the objects with the job's items, so a job is accepted only once and only
 * when complete. The results are a log of numbered records in a collection of
 * its own. Records are created one after the other, so no position is used
 * twice even if several nodes write. The end of a job is the status of its
 * header. A new coordinator reads all headers, and only the open jobs in full.
 */
import {
  BATCH_JOB_SCHEMA,
  BatchJob,
  JOB_RESULT_SCHEMA,
  JobProgress,
  ServiceError,
  createError,
  decodeProgress,
} from '@sassafrasspan/core';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';

const HEADER_COLLECTION = 'batch-jobs';
const ITEMS_COLLECTION = 'batch-items';
const CHECKPOINT_COLLECTION = 'batch-progress';
const LOG_COLLECTION_PREFIX = 'batch-log-';
const SEQUENCE_DIGITS = 6;
/** Share of the store's limit on an object that a part's items may take. */
const PART_SHARE = 0.8;

const HEADER_SCHEMA = z.extend(z.omit(BATCH_JOB_SCHEMA, {items: true}), {
  /** Number of objects that hold the items. */
  parts: z.number(),
});

const STATUS_SCHEMA = z.object({
  isEnded: z.boolean(),
});

const PART_SCHEMA = z.object({items: BATCH_JOB_SCHEMA.shape.items});

const RECORD_SCHEMA = z.object({
  /** Number of the record in the log, from 0. */
  sequence: z.number(),
  results: z.array(JOB_RESULT_SCHEMA),
  /** Identifies the coordinator that wrote the record. */
  writer: z.string(),
});

/** A record of a job's log. */
export type LogRecord = z.infer<typeof RECORD_SCHEMA>;

export interface StoredJob {
  readonly job: BatchJob;
  /** The log in order, up to the first gap. */
  readonly records: readonly LogRecord[];
  readonly isEnded: boolean;
}

export interface JobHeader {
  readonly id: string;
  readonly model: string;
  readonly acceptedAtMs: number;
  readonly isEnded: boolean;
}

type StoreCallResult<T> = Promise<Result<T, ServiceError>>;

/** Reads and writes batch jobs, their logs and the checkpoint. */
export class JobStore {
  private constructor(
    private readonly objects: ObjectCollections,
    private readonly maxObjectBytes: number,
  ) {}

  /** `maxObjectBytes` is the store's limit on the size of an object. */
  static create(store: ObjectCollections, maxObjectBytes: number): JobStore {
    return new JobStore(store, maxObjectBytes);
  }

  /** Stores a job; returns false if it was already stored. Fails with `conflict`
   * if another customer has a job of that id. */
  async createJob(job: BatchJob): StoreCallResult<boolean> {
    const {items, ...header} = job;
    const parts = splitItems(items, this.maxObjectBytes * PART_SHARE);
    for (const [index, part] of parts.entries()) {
      const name = formatPartName(job.id, index);
      const created = await this.objects.createObject(ITEMS_COLLECTION, name, {
        items: part,
      });
      if (created.isErr() && created.error.kind !== 'conflict') {
        // The job can't run, since its header was not created.
        return err({...created.error, outcome: 'not-run'});
      }
    }
    const value = {...header, parts: parts.length};
    const created = await this.objects.createObject(
      HEADER_COLLECTION,
      job.id,
      value,
    );
    if (created.isOk()) return ok(true);
    if (created.error.kind !== 'conflict') return err(created.error);
    return this.checkOwner(job);
  }

  /** Returns false if the stored job belongs to the same customer. */
  private async checkOwner(job: BatchJob): StoreCallResult<boolean> {
    if (job.customer === undefined) return ok(false);
    const object = await this.objects.readObject(HEADER_COLLECTION, job.id);
    if (object.isErr()) return err(object.error);
    const stored = object.value && decodeHeader(object.value)?.header;
    if (stored?.customer === job.customer) return ok(false);
    return err(createOwnerConflict(job.id));
  }

  async endJob(id: string): StoreCallResult<void> {
    const status = {isEnded: true};
    const written = await this.objects.writeStatus(
      HEADER_COLLECTION,
      id,
      status,
    );
    return written.map(() => undefined);
  }

  /** Lists all stored jobs, open and ended. */
  async listJobs(): StoreCallResult<JobHeader[]> {
    const listing = await this.objects.listObjects(HEADER_COLLECTION);
    return listing.map(({objects}) =>
      objects
        .map(decodeHeader)
        .filter(header => header !== undefined)
        .map(({header, isEnded}) => ({
          id: header.id,
          model: header.model,
          acceptedAtMs: header.acceptedAtMs,
          isEnded,
        })),
    );
  }

  /** Reads a job with its items and log; undefined if it doesn't exist. */
  async readJob(id: string): StoreCallResult<StoredJob | undefined> {
    const [object, records] = await Promise.all([
      this.objects.readObject(HEADER_COLLECTION, id),
      this.readLog(id),
    ]);
    if (object.isErr()) return err(object.error);
    if (records.isErr()) return err(records.error);
    if (object.value === undefined) return ok(undefined);
    const decoded = decodeHeader(object.value);
    if (decoded === undefined) {
      return err(
        createError('internal', `batch job ${id} has an invalid header`),
      );
    }
    const {parts, ...header} = decoded.header;
    const items = await this.readItems(id, parts);
    if (items.isErr()) return err(items.error);
    return ok({
      job: {...header, items: items.value},
      records: records.value,
      isEnded: decoded.isEnded,
    });
  }

  /** Reads one record of a log; undefined if it doesn't exist. */
  async readRecord(
    jobId: string,
    sequence: number,
  ): StoreCallResult<LogRecord | undefined> {
    const name = formatRecordName(sequence);
    const object = await this.objects.readObject(
      formatLogCollection(jobId),
      name,
    );
    if (object.isErr()) return err(object.error);
    if (object.value === undefined) return ok(undefined);
    const parsed = RECORD_SCHEMA.safeParse(object.value.value);
    return parsed.success
      ? ok(parsed.data)
      : err(
          createError(
            'internal',
            `record ${name} of batch job ${jobId} is invalid`,
          ),
        );
  }

  /**
   * Appends a record. Returns the record that is stored under its sequence
   * number: this one, or one that another writer appended first.
   */
  async appendRecord(
    jobId: string,
    record: LogRecord,
  ): StoreCallResult<LogRecord> {
    const name = formatRecordName(record.sequence);
    const collection = formatLogCollection(jobId);
    const created = await this.objects.createObject(collection, name, record);
    if (created.isOk()) return ok(record);
    if (created.error.kind !== 'conflict') return err(created.error);
    const stored = await this.readRecord(jobId, record.sequence);
    if (stored.isErr()) return err(stored.error);
    return stored.value === undefined
      ? err(createError('platform-down', `record ${name} does not exist`))
      : ok(stored.value);
  }

  /**
   * Creates a part of the checkpoint, or replaces the given `version` of it.
   * Returns the new version; fails with `conflict` if another version is stored.
   */
  async writeCheckpointPart(
    part: number,
    progress: JobProgress,
    version: number | undefined,
  ): StoreCallResult<number> {
    const name = String(part);
    const written =
      version === undefined
        ? await this.objects.createObject(CHECKPOINT_COLLECTION, name, progress)
        : await this.objects.replaceObject(
            CHECKPOINT_COLLECTION,
            name,
            progress,
            version,
          );
    return written.map(object => object.version);
  }

  /** Returns the stored version of a part; undefined if it isn't stored. */
  async findCheckpointVersion(
    part: number,
  ): StoreCallResult<number | undefined> {
    const stored = await this.objects.readObject(
      CHECKPOINT_COLLECTION,
      String(part),
    );
    return stored.map(object => object?.version);
  }

  /** Reads every part of the checkpoint; an invalid part counts as empty. */
  async readCheckpoint(): StoreCallResult<JobProgress[]> {
    const listing = await this.objects.listObjects(CHECKPOINT_COLLECTION);
    return listing.map(({objects}) =>
      objects.map(object => decodeProgress(object.value)),
    );
  }

  /** Removes a job with its items and log. */
  async removeJob(id: string): StoreCallResult<void> {
    const object = await this.objects.readObject(HEADER_COLLECTION, id);
    if (object.isErr()) return err(object.error);
    const decoded =
      object.value === undefined ? undefined : decodeHeader(object.value);
    const removed = await this.objects.removeObject(HEADER_COLLECTION, id);
    if (removed.isErr()) return removed;
    for (let index = 0; index < (decoded?.header.parts ?? 0); index++) {
      await this.objects.removeObject(
        ITEMS_COLLECTION,
        formatPartName(id, index),
      );
    }
    const collection = formatLogCollection(id);
    const log = await this.objects.listObjects(collection);
    if (log.isErr()) return err(log.error);
    for (const {name} of log.value.objects) {
      await this.objects.removeObject(collection, name);
    }
    return ok(undefined);
  }

  private async readLog(id: string): StoreCallResult<LogRecord[]> {
    const listing = await this.objects.listObjects(formatLogCollection(id));
    if (listing.isErr()) return err(listing.error);
    const records: LogRecord[] = [];
    for (const object of listing.value.objects) {
      const parsed = RECORD_SCHEMA.safeParse(object.value);
      if (!parsed.success || parsed.data.sequence !== records.length) break;
      records.push(parsed.data);
    }
    return ok(records);
  }

  private async readItems(
    id: string,
    parts: number,
  ): StoreCallResult<BatchJob['items']> {
    const names = Array.from({length: parts}, (_, i) => formatPartName(id, i));
    const objects = await Promise.all(
      names.map(name => this.objects.readObject(ITEMS_COLLECTION, name)),
    );
    const items: BatchJob['items'] = [];
    for (const object of objects) {
      if (object.isErr()) return err(object.error);
      const parsed = PART_SCHEMA.safeParse(object.value?.value);
      if (!parsed.success) {
        return err(
          createError('internal', `batch job ${id} has invalid items`),
        );
      }
      items.push(...parsed.data.items);
    }
    return ok(items);
  }
}

function decodeHeader(object: CollectionObject) {
  const parsed = HEADER_SCHEMA.safeParse(object.value);
  if (!parsed.success) return undefined;
  const status = STATUS_SCHEMA.safeParse(object.status);
  return {
    header: parsed.data,
    isEnded: status.success && status.data.isEnded,
  };
}

/** Splits items into parts of at most `maxBytes`, except for single items that
 * are larger; returns at least one part. */
function splitItems(
  items: BatchJob['items'],
  maxBytes: number,
): BatchJob['items'][] {
  const parts: BatchJob['items'][] = [[]];
  let bytes = 0;
  for (const item of items) {
    const size = JSON.stringify(item).length;
    const last = parts[parts.length - 1];
    if (bytes + size > maxBytes && last.length > 0) {
      parts.push([item]);
      bytes = size;
    } else {
      last.push(item);
      bytes += size;
    }
  }
  return parts;
}

function formatPartName(jobId: string, index: number): string {
  return `${jobId}.${index}`;
}

function formatLogCollection(jobId: string): string {
  return LOG_COLLECTION_PREFIX + jobId;
}

function formatRecordName(sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0');
}

/** Returns the error for a submission under the id of another customer's job. */
export function createOwnerConflict(jobId: string): ServiceError {
  return createError('conflict', `batch job ${jobId} is not the caller's`);
}
