/**
 * What lasts of batch jobs in the object API.
 *
 * A job is a small header, created under the job's id once its items are kept,
 * so that it is accepted once and whole. Its results are a log of numbered
 * records in a kind of their own, created one after the other, so that no
 * position is given twice, whichever nodes write. The end of a job is the
 * header's status. A new home so reads the headers and the jobs that are open.
 */
import {
  BATCH_JOB_SCHEMA,
  BatchJob,
  JOB_RESULT_SCHEMA,
  JobProgress,
  PROGRESS_SCHEMA,
  ServiceError,
  createError,
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
/** Share of the store's bound on an object that items may take. */
const PART_SHARE = 0.8;

const HEADER_SCHEMA = z.extend(z.omit(BATCH_JOB_SCHEMA, {items: true}), {
  /** Objects that hold the items. */
  parts: z.number(),
});

const STATUS_SCHEMA = z.object({
  /** Whether the trainer has ended the job. */
  isEnded: z.boolean(),
});

const PART_SCHEMA = z.object({items: BATCH_JOB_SCHEMA.shape.items});

/** Schema of a record of a job's log. */
const RECORD_SCHEMA = z.object({
  /** Number of the record in the log, from 0. */
  sequence: z.number(),
  results: z.array(JOB_RESULT_SCHEMA),
  /** Names the home that wrote the record. */
  writer: z.string(),
});

/** A record of a job's log. */
export type LogRecord = z.infer<typeof RECORD_SCHEMA>;

/** A job with its log, as the store keeps them. */
export interface StoredJob {
  readonly job: BatchJob;
  /** Records in order, without a gap. */
  readonly records: readonly LogRecord[];
  readonly isEnded: boolean;
}

/** What a list of jobs tells of one. */
export interface JobHeader {
  readonly id: string;
  readonly model: string;
  readonly acceptedAtMs: number;
  readonly isEnded: boolean;
}

/** Result of a call to the store. */
type StoreCallResult<T> = Promise<Result<T, ServiceError>>;

/** Batch jobs in the store. */
export class JobStore {
  private constructor(
    private readonly objects: ObjectCollections,
    private readonly maxObjectBytes: number,
  ) {}

  /** Builds a ledger on a store whose objects have a bound in bytes. */
  static create(store: ObjectCollections, maxObjectBytes: number): JobStore {
    return new JobStore(store, maxObjectBytes);
  }

  /** Keeps a job; false when it was kept before. */
  async createJob(job: BatchJob): StoreCallResult<boolean> {
    const {items, ...header} = job;
    const parts = splitItems(items, this.maxObjectBytes * PART_SHARE);
    for (const [index, part] of parts.entries()) {
      const name = formatPartName(job.id, index);
      const created = await this.objects.createObject(ITEMS_COLLECTION, name, {
        items: part,
      });
      if (created.isErr() && created.error.kind !== 'conflict') {
        // Without its header no part of the job can run.
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
    return created.error.kind === 'conflict' ? ok(false) : err(created.error);
  }

  /** Marks a job as ended. */
  async endJob(id: string): StoreCallResult<void> {
    const status = {isEnded: true};
    const written = await this.objects.writeStatus(
      HEADER_COLLECTION,
      id,
      status,
    );
    return written.map(() => undefined);
  }

  /** Lists the jobs that are kept. */
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

  /** Reads a job with its log; undefined when there is none. */
  async readJob(id: string): StoreCallResult<StoredJob | undefined> {
    const [found, records] = await Promise.all([
      this.objects.readObject(HEADER_COLLECTION, id),
      this.readLog(id),
    ]);
    if (found.isErr()) return err(found.error);
    if (records.isErr()) return err(records.error);
    if (found.value === undefined) return ok(undefined);
    const decoded = decodeHeader(found.value);
    if (decoded === undefined) {
      return err(createError('internal', `batch job ${id} is unreadable`));
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

  /** Reads one record; undefined when there is none. */
  async readRecord(
    jobId: string,
    sequence: number,
  ): StoreCallResult<LogRecord | undefined> {
    const name = formatRecordName(sequence);
    const found = await this.objects.readObject(
      formatLogCollection(jobId),
      name,
    );
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) return ok(undefined);
    const parsed = RECORD_SCHEMA.safeParse(found.value.value);
    return parsed.success
      ? ok(parsed.data)
      : err(
          createError('internal', `record ${name} of ${jobId} is unreadable`),
        );
  }

  /**
   * Appends a record. Returns the record that stands at its place: the same
   * one, or another that came first.
   */
  async appendRecord(
    jobId: string,
    record: LogRecord,
  ): StoreCallResult<LogRecord> {
    const name = formatRecordName(record.sequence);
    const kind = formatLogCollection(jobId);
    const created = await this.objects.createObject(kind, name, record);
    if (created.isOk()) return ok(record);
    if (created.error.kind !== 'conflict') return err(created.error);
    const found = await this.readRecord(jobId, record.sequence);
    if (found.isErr()) return err(found.error);
    return found.value === undefined
      ? err(createError('platform-down', `record ${name} is not there`))
      : ok(found.value);
  }

  /** Keeps a part of the checkpoint, in place of an earlier one. */
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

  /** Returns the version of a part of the checkpoint; undefined without one. */
  async findCheckpointVersion(
    part: number,
  ): StoreCallResult<number | undefined> {
    const found = await this.objects.readObject(
      CHECKPOINT_COLLECTION,
      String(part),
    );
    return found.map(object => object?.version);
  }

  /** Reads every part of the checkpoint. */
  async readCheckpoint(): StoreCallResult<JobProgress[]> {
    const listing = await this.objects.listObjects(CHECKPOINT_COLLECTION);
    return listing.map(({objects}) =>
      objects.map(object => decodeCheckpointPart(object.value)),
    );
  }

  /** Removes a job with its log. */
  async removeJob(id: string): StoreCallResult<void> {
    const kept = await this.objects.readObject(HEADER_COLLECTION, id);
    if (kept.isErr()) return err(kept.error);
    const decoded =
      kept.value === undefined ? undefined : decodeHeader(kept.value);
    const removed = await this.objects.removeObject(HEADER_COLLECTION, id);
    if (removed.isErr()) return removed;
    for (let index = 0; index < (decoded?.header.parts ?? 0); index++) {
      await this.objects.removeObject(
        ITEMS_COLLECTION,
        formatPartName(id, index),
      );
    }
    const kind = formatLogCollection(id);
    const log = await this.objects.listObjects(kind);
    if (log.isErr()) return err(log.error);
    for (const {name} of log.value.objects) {
      await this.objects.removeObject(kind, name);
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
    const found = await Promise.all(
      names.map(name => this.objects.readObject(ITEMS_COLLECTION, name)),
    );
    const items: BatchJob['items'] = [];
    for (const part of found) {
      if (part.isErr()) return err(part.error);
      const parsed = PART_SCHEMA.safeParse(part.value?.value);
      if (!parsed.success) {
        return err(createError('internal', `items of ${id} are unreadable`));
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

function decodeCheckpointPart(value: unknown): JobProgress {
  const parsed = PROGRESS_SCHEMA.safeParse(value);
  return parsed.success ? parsed.data : {items: []};
}

/** Splits items into lists of a bounded size; at least one. */
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
