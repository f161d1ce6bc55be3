/**
 * Records what the stand-in engine did for each request. Tests use it as the
 * ground truth.
 */
import type {GenerationSnapshot} from './generation_snapshot';

/** State of an execution; `whole` when it was generated completely. */
export type ExecutionEnd = 'whole' | 'broken' | 'running';

/** Execution of one request. */
export interface ExecutionRecord {
  readonly requestId: string;
  readonly prompt: string;
  /** Weight version of each generated token. */
  readonly versions: readonly number[];
  ended: ExecutionEnd;
}

export class ExecutionLog {
  private readonly openRecords = new Map<GenerationSnapshot, ExecutionRecord>();
  private readonly records: ExecutionRecord[] = [];

  private constructor() {}

  static create(): ExecutionLog {
    return new ExecutionLog();
  }

  /**
   * Records the start of a generation. The record shares the generation's
   * array of versions and so includes tokens generated later.
   */
  recordStart(generation: GenerationSnapshot): void {
    const {requestId, prompt, versions} = generation;
    const record: ExecutionRecord = {
      requestId,
      prompt,
      versions,
      ended: 'running',
    };
    this.openRecords.set(generation, record);
    this.records.push(record);
  }

  /** Records the end of a generation; false if it had already ended. */
  recordEnd(generation: GenerationSnapshot, ended: ExecutionEnd): boolean {
    const record = this.openRecords.get(generation);
    if (record === undefined) return false;
    record.ended = ended;
    return this.openRecords.delete(generation);
  }

  /** Returns all executions in the order in which they started. */
  listRecords(): readonly ExecutionRecord[] {
    return this.records;
  }
}
