/**
 * What lasts of batch jobs in the object API. A job is one object, created
 * under its id, so that it is accepted once; its results are a log of numbered
 * objects, created one after the other, so that no position is given twice,
 * whichever nodes write.
 */
import {
  BATCH_JOB_SCHEMA,
  BatchJob,
  JOB_RESULT_SCHEMA,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {Result, err, ok} from 'neverthrow';
import * as z from 'zod/mini';

const JOB_KIND = 'batch-jobs';
const PART_KIND = 'batch-job-parts';
const LOG_KIND = 'batch-job-log';
const SEQUENCE_DIGITS = 6;
/** Share of the store's bound on an object that items may take. */
const PART_SHARE = 0.8;

/** Schema of a record of a job's log. */
const RECORD_SCHEMA = z.object({
  jobId: z.string(),
  /** Number of the record in the log, from 0. */
  sequence: z.number(),
  results: z.array(JOB_RESULT_SCHEMA),
  /** Whether the trainer has ended the job. */
  isEnd: z.boolean(),
  /** Names the attempt that wrote the record. */
  writer: z.string(),
});

const STORED_JOB_SCHEMA = z.extend(BATCH_JOB_SCHEMA, {
  /** Objects that hold further items. */
  parts: z.number(),
});

const PART_SCHEMA = z.object({items: BATCH_JOB_SCHEMA.shape.items});

/** A record of a job's log. */
export type LogRecord = z.infer<typeof RECORD_SCHEMA>;

/** A job with its log, as the store keeps them. */
export interface KeptJob {
  readonly job: BatchJob;
  /** Records in order, without a gap. */
  readonly records: readonly LogRecord[];
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
    const pages = splitItems(job, this.maxObjectBytes * PART_SHARE);
    for (const [index, items] of pages.slice(1).entries()) {
      const name = formatPart(job.id, index);
      const created = await this.store.createObject(PART_KIND, name, {items});
      if (created.isErr() && created.error.kind !== 'conflict') {
        return err(created.error);
      }
    }
    const stored = {...job, items: pages[0], parts: pages.length - 1};
    const created = await this.store.createObject(JOB_KIND, job.id, stored);
    if (created.isOk()) return ok(true);
    return created.error.kind === 'conflict' ? ok(false) : err(created.error);
  }

  /** Reads a job with its log; undefined when there is none. */
  async readJob(id: string): StoreAnswer<KeptJob | undefined> {
    const found = await this.store.readObject(JOB_KIND, id);
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) return ok(undefined);
    const job = await this.decodeJob(found.value);
    if (job.isErr()) return err(job.error);
    const records: LogRecord[] = [];
    for (;;) {
      const record = await this.readRecord(id, records.length);
      if (record.isErr()) return err(record.error);
      if (record.value === undefined) return ok({job: job.value, records});
      records.push(record.value);
    }
  }

  /** Reads every job that is kept. */
  async readAll(): StoreAnswer<KeptJob[]> {
    const [jobs, log] = await Promise.all([
      this.store.listObjects(JOB_KIND),
      this.store.listObjects(LOG_KIND),
    ]);
    if (jobs.isErr()) return err(jobs.error);
    if (log.isErr()) return err(log.error);
    const records = groupRecords(log.value.objects);
    const kept: KeptJob[] = [];
    for (const object of jobs.value.objects) {
      const job = await this.decodeJob(object);
      if (job.isErr()) return err(job.error);
      kept.push({job: job.value, records: records.get(job.value.id) ?? []});
    }
    return ok(kept);
  }

  /** Reads one record; undefined when there is none. */
  async readRecord(
    jobId: string,
    sequence: number,
  ): StoreAnswer<LogRecord | undefined> {
    const name = formatRecord(jobId, sequence);
    const found = await this.store.readObject(LOG_KIND, name);
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) return ok(undefined);
    const parsed = RECORD_SCHEMA.safeParse(found.value.value);
    return parsed.success
      ? ok(parsed.data)
      : err(createError('internal', `record ${name} cannot be read`));
  }

  /**
   * Appends a record. Returns the record that stands at its place: the same
   * one, or another that came first.
   */
  async appendRecord(record: LogRecord): StoreAnswer<LogRecord> {
    const name = formatRecord(record.jobId, record.sequence);
    const created = await this.store.createObject(LOG_KIND, name, record);
    if (created.isOk()) return ok(record);
    if (created.error.kind !== 'conflict') return err(created.error);
    const found = await this.readRecord(record.jobId, record.sequence);
    if (found.isErr()) return err(found.error);
    return found.value === undefined
      ? err(createError('platform-down', `record ${name} is not there`))
      : ok(found.value);
  }

  /** Removes a job and its log. */
  async removeJob(id: string, records: number, items: number): Promise<void> {
    await this.store.removeObject(JOB_KIND, id);
    for (let sequence = 0; sequence < records; sequence++) {
      await this.store.removeObject(LOG_KIND, formatRecord(id, sequence));
    }
    const parts = await this.store.listObjects(PART_KIND, {after: id});
    if (parts.isErr() || items === 0) return;
    for (const {name} of parts.value.objects) {
      if (!name.startsWith(`${id}.`)) return;
      await this.store.removeObject(PART_KIND, name);
    }
  }

  private async decodeJob(object: CollectionObject): StoreAnswer<BatchJob> {
    const parsed = STORED_JOB_SCHEMA.safeParse(object.value);
    if (!parsed.success) {
      return err(createError('internal', `job ${object.name} is unreadable`));
    }
    const {parts, ...job} = parsed.data;
    const items = [...job.items];
    for (let index = 0; index < parts; index++) {
      const name = formatPart(job.id, index);
      const part = await this.store.readObject(PART_KIND, name);
      if (part.isErr()) return err(part.error);
      const decoded = PART_SCHEMA.safeParse(part.value?.value);
      if (!decoded.success) {
        return err(createError('internal', `part ${name} is unreadable`));
      }
      items.push(...decoded.data.items);
    }
    return ok({...job, items});
  }
}

/** Splits the items of a job into lists of a bounded size. */
function splitItems(job: BatchJob, maxBytes: number): BatchJob['items'][] {
  const pages: BatchJob['items'][] = [[]];
  let bytes = 0;
  for (const item of job.items) {
    const size = JSON.stringify(item).length;
    const last = pages[pages.length - 1];
    if (bytes + size > maxBytes && last.length > 0) {
      pages.push([item]);
      bytes = size;
    } else {
      last.push(item);
      bytes += size;
    }
  }
  return pages;
}

function formatPart(jobId: string, index: number): string {
  return `${jobId}.${index}`;
}

function formatRecord(jobId: string, sequence: number): string {
  return `${jobId}.${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Groups records by job, up to the first gap of each log. */
function groupRecords(
  objects: readonly CollectionObject[],
): Map<string, LogRecord[]> {
  const records = objects
    .map(object => RECORD_SCHEMA.safeParse(object.value))
    .filter(parsed => parsed.success)
    .map(parsed => parsed.data)
    .sort((a, b) => a.sequence - b.sequence);
  const grouped = new Map<string, LogRecord[]>();
  for (const record of records) {
    const log = grouped.get(record.jobId) ?? [];
    if (record.sequence !== log.length) continue;
    log.push(record);
    grouped.set(record.jobId, log);
  }
  return grouped;
}
