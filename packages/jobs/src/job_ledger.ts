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

const HEADER_KIND = 'batch-jobs';
const ITEMS_KIND = 'batch-items';
const PROGRESS_KIND = 'batch-progress';
const LOG_KIND_PREFIX = 'batch-log-';
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
export interface KeptJob {
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
type StoreAnswer<T> = Promise<Result<T, ServiceError>>;

/** Batch jobs in the store. */
export class JobLedger {
  private constructor(
    private readonly store: ObjectCollections,
    private readonly maxObjectBytes: number,
  ) {}

  /** Builds a ledger on a store whose objects have a bound in bytes. */
  static create(store: ObjectCollections, maxObjectBytes: number): JobLedger {
    return new JobLedger(store, maxObjectBytes);
  }

  /** Keeps a job; false when it was kept before. */
  async createJob(job: BatchJob): StoreAnswer<boolean> {
    const {items, ...header} = job;
    const parts = splitItems(items, this.maxObjectBytes * PART_SHARE);
    for (const [index, part] of parts.entries()) {
      const name = formatPart(job.id, index);
      const created = await this.store.createObject(ITEMS_KIND, name, {
        items: part,
      });
      if (created.isErr() && created.error.kind !== 'conflict') {
        // Without its header no part of the job can run.
        return err({...created.error, outcome: 'not-run'});
      }
    }
    const value = {...header, parts: parts.length};
    const created = await this.store.createObject(HEADER_KIND, job.id, value);
    if (created.isOk()) return ok(true);
    return created.error.kind === 'conflict' ? ok(false) : err(created.error);
  }

  /** Marks a job as ended. */
  async endJob(id: string): StoreAnswer<void> {
    const status = {isEnded: true};
    const written = await this.store.writeStatus(HEADER_KIND, id, status);
    return written.map(() => undefined);
  }

  /** Lists the jobs that are kept. */
  async listJobs(): StoreAnswer<JobHeader[]> {
    const listing = await this.store.listObjects(HEADER_KIND);
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
  async readJob(id: string): StoreAnswer<KeptJob | undefined> {
    const [found, records] = await Promise.all([
      this.store.readObject(HEADER_KIND, id),
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
  ): StoreAnswer<LogRecord | undefined> {
    const name = formatSequence(sequence);
    const found = await this.store.readObject(formatLogKind(jobId), name);
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
  async appendRecord(jobId: string, record: LogRecord): StoreAnswer<LogRecord> {
    const name = formatSequence(record.sequence);
    const kind = formatLogKind(jobId);
    const created = await this.store.createObject(kind, name, record);
    if (created.isOk()) return ok(record);
    if (created.error.kind !== 'conflict') return err(created.error);
    const found = await this.readRecord(jobId, record.sequence);
    if (found.isErr()) return err(found.error);
    return found.value === undefined
      ? err(createError('platform-down', `record ${name} is not there`))
      : ok(found.value);
  }

  /** Keeps a part of the checkpoint, in place of an earlier one. */
  async writeProgress(
    part: number,
    progress: JobProgress,
    version: number | undefined,
  ): StoreAnswer<number> {
    const name = String(part);
    const written =
      version === undefined
        ? await this.store.createObject(PROGRESS_KIND, name, progress)
        : await this.store.replaceObject(
            PROGRESS_KIND,
            name,
            progress,
            version,
          );
    return written.map(object => object.version);
  }

  /** Returns the version of a part of the checkpoint; undefined without one. */
  async findProgressVersion(part: number): StoreAnswer<number | undefined> {
    const found = await this.store.readObject(PROGRESS_KIND, String(part));
    return found.map(object => object?.version);
  }

  /** Reads every part of the checkpoint. */
  async readProgress(): StoreAnswer<JobProgress[]> {
    const listing = await this.store.listObjects(PROGRESS_KIND);
    return listing.map(({objects}) =>
      objects.map(object => decodeProgress(object.value)),
    );
  }

  /** Removes a job with its log. */
  async removeJob(id: string): StoreAnswer<void> {
    const kept = await this.store.readObject(HEADER_KIND, id);
    if (kept.isErr()) return err(kept.error);
    const decoded =
      kept.value === undefined ? undefined : decodeHeader(kept.value);
    const removed = await this.store.removeObject(HEADER_KIND, id);
    if (removed.isErr()) return removed;
    for (let index = 0; index < (decoded?.header.parts ?? 0); index++) {
      await this.store.removeObject(ITEMS_KIND, formatPart(id, index));
    }
    const kind = formatLogKind(id);
    const log = await this.store.listObjects(kind);
    if (log.isErr()) return err(log.error);
    for (const {name} of log.value.objects) {
      await this.store.removeObject(kind, name);
    }
    return ok(undefined);
  }

  private async readLog(id: string): StoreAnswer<LogRecord[]> {
    const listing = await this.store.listObjects(formatLogKind(id));
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
  ): StoreAnswer<BatchJob['items']> {
    const names = Array.from({length: parts}, (_, i) => formatPart(id, i));
    const found = await Promise.all(
      names.map(name => this.store.readObject(ITEMS_KIND, name)),
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

function decodeProgress(value: unknown): JobProgress {
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

function formatPart(jobId: string, index: number): string {
  return `${jobId}.${index}`;
}

function formatLogKind(jobId: string): string {
  return LOG_KIND_PREFIX + jobId;
}

function formatSequence(sequence: number): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0');
}
