/** What the stand-in engine did for each request, as the truth for oracles. */
import type {GenerationSnapshot} from './generation_snapshot';

/** How an execution has ended. */
export type ExecutionEnd = 'whole' | 'broken' | 'running';

/** What the engine did for one request. */
export interface ExecutionRecord {
  readonly requestId: string;
  readonly prompt: string;
  /** Version of each generated token. */
  readonly versions: readonly number[];
  ended: ExecutionEnd;
}

/** Every execution of one engine. */
export class ExecutionLog {
  private readonly openRecords = new Map<GenerationSnapshot, ExecutionRecord>();
  private readonly records: ExecutionRecord[] = [];

  private constructor() {}

  /** Builds an empty log. */
  static create(): ExecutionLog {
    return new ExecutionLog();
  }

  /** Notes the start of a generation; its versions are followed. */
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

  /** Notes the first end of a generation; false when it had ended before. */
  recordEnd(generation: GenerationSnapshot, ended: ExecutionEnd): boolean {
    const record = this.openRecords.get(generation);
    if (record === undefined) return false;
    record.ended = ended;
    return this.openRecords.delete(generation);
  }

  /** Lists every execution in the order of starts. */
  listRecords(): readonly ExecutionRecord[] {
    return this.records;
  }
}
