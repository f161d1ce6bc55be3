/**
 * The state of one rollout step at its home entry: which slots still need a
 * sample, which are being generated, and which wait to be pulled.
 */
import {Result, err, ok} from 'neverthrow';
import type {ServiceError} from '../errors/error_kinds';
import {DeliveredSet} from './cursor';
import {
  PullReply,
  Sample,
  StepDescription,
  formatStepName,
} from './step_schemas';

/** Work for one slot. */
export interface SlotWork {
  readonly slot: number;
  readonly group: number;
  readonly index: number;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly expectedTokens: number;
  /** How often the slot has been started before. */
  readonly generation: number;
}

/** What a trainer says when it pulls. */
export interface PullRequest {
  readonly cursor: string;
  /** Weight version that the trainer is at. */
  readonly trainerVersion: number;
  readonly maxSamples: number;
}

/** One step at its home. */
export class StepState {
  private readonly ready = new Map<number, Sample>();
  private readonly inFlight = new Set<number>();
  private readonly generations: number[];
  private acknowledged: DeliveredSet;
  private droppedStale = 0;
  private trainerVersion = 0;

  private constructor(
    readonly trainer: string,
    readonly step: string,
    readonly customer: string,
    readonly service: string,
    readonly description: StepDescription,
    readonly stalenessBound: number,
  ) {
    this.acknowledged = DeliveredSet.create(
      formatStepName(trainer, step),
      this.countSlots(),
    );
    this.generations = new Array<number>(this.countSlots()).fill(0);
  }

  /** Builds a step of which no slot has been generated. */
  static create(options: StepOptions): StepState {
    return new StepState(
      options.trainer,
      options.step,
      options.customer,
      options.service,
      options.description,
      options.stalenessBound,
    );
  }

  /** Returns the number of slots of the step. */
  countSlots(): number {
    return this.description.prompts.length * this.description.groupSize;
  }

  /** Takes up to `limit` slots that need a sample, and marks them started. */
  takeWork(limit: number): SlotWork[] {
    const taken: SlotWork[] = [];
    for (let slot = 0; slot < this.countSlots(); slot++) {
      if (taken.length >= limit) break;
      if (!this.needsSample(slot)) continue;
      this.inFlight.add(slot);
      taken.push(this.createWork(slot));
      this.generations[slot] += 1;
    }
    return taken;
  }

  private needsSample(slot: number): boolean {
    if (this.acknowledged.has(slot)) return false;
    return !this.ready.has(slot) && !this.inFlight.has(slot);
  }

  private createWork(slot: number): SlotWork {
    const group = Math.floor(slot / this.description.groupSize);
    const prompt = this.description.prompts[group];
    return {
      slot,
      group,
      index: slot % this.description.groupSize,
      prompt: prompt.prompt,
      maxTokens: prompt.maxTokens,
      expectedTokens: prompt.expectedTokens ?? prompt.maxTokens,
      generation: this.generations[slot],
    };
  }

  /** Returns the number of slots that are being generated. */
  countInFlight(): number {
    return this.inFlight.size;
  }

  /** Takes a finished sample; the first whole one wins its slot. */
  addSample(sample: Sample): boolean {
    this.inFlight.delete(sample.slot);
    if (this.acknowledged.has(sample.slot)) return false;
    if (this.ready.has(sample.slot)) return false;
    this.ready.set(sample.slot, sample);
    return true;
  }

  /** Notes that a slot's work failed and has to be done again. */
  releaseSlot(slot: number): void {
    this.inFlight.delete(slot);
  }

  /** Answers a pull: samples that the cursor does not hold yet. */
  pullSamples(request: PullRequest): Result<PullReply, ServiceError> {
    const name = formatStepName(this.trainer, this.step);
    const decoded = DeliveredSet.decode(
      name,
      this.countSlots(),
      request.cursor,
    );
    if (decoded.isErr()) return err(decoded.error);
    this.applyCursor(decoded.value);
    this.trainerVersion = Math.max(this.trainerVersion, request.trainerVersion);
    this.dropStale();
    const samples = [...this.ready.values()].slice(0, request.maxSamples);
    return ok(this.createReply(decoded.value, samples));
  }

  /** Forgets samples that the trainer has. */
  private applyCursor(delivered: DeliveredSet): void {
    this.acknowledged = delivered;
    for (const slot of this.ready.keys()) {
      if (delivered.has(slot)) this.ready.delete(slot);
    }
  }

  private dropStale(): void {
    for (const [slot, sample] of this.ready) {
      if (!isStale(sample, this.trainerVersion, this.stalenessBound)) continue;
      this.ready.delete(slot);
      this.droppedStale += 1;
    }
  }

  private createReply(
    delivered: DeliveredSet,
    samples: readonly Sample[],
  ): PullReply {
    const next = delivered.addSlots(samples.map(sample => sample.slot));
    const count = next.count();
    return {
      samples: [...samples],
      cursor: next.encode(),
      delivered: count,
      total: this.countSlots(),
      complete: count === this.countSlots(),
      droppedStale: this.droppedStale,
    };
  }

  /** Tells whether the trainer has acknowledged every slot. */
  isComplete(): boolean {
    return this.acknowledged.count() === this.countSlots();
  }

  /** Returns the number of samples that wait to be pulled. */
  countReady(): number {
    return this.ready.size;
  }
}

/** What a step is built from. */
export interface StepOptions {
  readonly trainer: string;
  readonly step: string;
  readonly customer: string;
  readonly service: string;
  readonly description: StepDescription;
  /** Largest lag in versions at delivery. */
  readonly stalenessBound: number;
}

/** Tells whether a sample's oldest segment is behind the bound. */
export function isStale(
  sample: Sample,
  trainerVersion: number,
  stalenessBound: number,
): boolean {
  const oldest = Math.min(...sample.segments.map(part => part.version));
  return trainerVersion - oldest > stalenessBound;
}
