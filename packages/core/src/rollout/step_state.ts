/**
 * The state of one rollout step at its home entry: which slots still need a
 * sample, which are being generated, and which wait to be pulled.
 *
 * The trainer's cursor is the truth of what it has received. The state only
 * remembers which slots it need not work on, and may be lost at any time.
 */
import {Result, err, ok} from 'neverthrow';
import {ErrorKind, ServiceError, createError} from '../errors/error_kinds';
import {DeliveredSet} from './cursor';
import {LengthPredictor} from './length_predictor';
import {findOldestVersion, isStale} from './sample_checks';
import {SlotCopies, SlotCopy} from './slot_copies';
import type {MissingSlot, StepDemand} from './step_policy';
import {formatStepIdentity} from './step_runs';
import {
  FailedSlot,
  PullReply,
  Sample,
  StepDescription,
  formatStepName,
} from './step_schemas';

/** Work for one copy of a slot. */
export interface SlotWork {
  readonly copyId: number;
  readonly slot: number;
  readonly group: number;
  readonly index: number;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly expectedTokens: number;
  /** Oldest weight version that is not over the staleness bound. */
  readonly minVersion: number;
}

/** What a trainer says when it pulls. */
export interface PullRequest {
  readonly cursor: string;
  /** Weight version that the trainer is at. */
  readonly trainerVersion: number;
  readonly maxSamples: number;
}

/** A pull whose cursor has been read and taken in. */
export interface OpenPull {
  readonly delivered: DeliveredSet;
  readonly maxSamples: number;
}

/** What a step is built from. */
export interface StepOptions {
  readonly trainer: string;
  readonly step: string;
  readonly customer: string;
  readonly service: string;
  readonly description: StepDescription;
  /** Largest lag in versions at delivery that the step states. */
  readonly stalenessBound: number;
  /** Returns the bound that the rules in force state, if one does. */
  readRuleBound(): number | undefined;
}

/** One step at its home. */
export class StepState {
  /** Name of the step and of its exact description. */
  readonly identityKey: string;
  private readonly ready = new Map<number, Sample>();
  /** Ready samples that a reply has carried already. */
  private readonly sent = new Set<number>();
  private readonly copies = SlotCopies.create();
  private readonly failed = new Map<number, ErrorKind>();
  private readonly retryAtMs = new Map<number, number>();
  private readonly predictor: LengthPredictor;
  private acknowledged: DeliveredSet;
  private isLagging = false;
  private droppedStale = 0;
  private droppedSlots: number[] = [];
  private newestVersion = 0;
  /** Newest version at the first pull. */
  private firstVersion: number | undefined;
  private sentCount = 0;
  private samplesPerVersion: number | undefined;

  private constructor(readonly options: StepOptions) {
    this.identityKey = formatStepIdentity(options);
    this.acknowledged = DeliveredSet.create(
      this.identityKey,
      this.countSlots(),
    );
    this.predictor = LengthPredictor.create(options.description.prompts);
  }

  /** Builds a step of which no slot has been generated. */
  static create(options: StepOptions): StepState {
    return new StepState(options);
  }

  /** Returns the name of the trainer and step. */
  getName(): string {
    return formatStepName(this.options.trainer, this.options.step);
  }

  /** Returns the stricter of the step's bound and that of the rules. */
  private readBound(): number {
    const {stalenessBound} = this.options;
    return Math.min(stalenessBound, this.options.readRuleBound() ?? Infinity);
  }

  /** Returns the number of slots of the step. */
  countSlots(): number {
    const {prompts, groupSize} = this.options.description;
    return prompts.length * groupSize;
  }

  /** Describes what the step needs, for a policy. */
  describeDemand(idleWeight: number, nowMs: number): StepDemand {
    this.dropStale();
    const {groupSize} = this.options.description;
    return {
      stepName: this.getName(),
      idleWeight,
      stalenessBound: this.readBound(),
      trainerVersion: this.newestVersion,
      total: this.countSlots(),
      ready: this.isSentWhole() ? 0 : this.ready.size,
      samplesPerVersion: this.samplesPerVersion,
      missing: this.listMissing(nowMs),
      running: this.copies.describe(groupSize, group =>
        this.predictor.predictTokens(group),
      ),
    };
  }

  private listMissing(nowMs: number): MissingSlot[] {
    const missing: MissingSlot[] = [];
    for (let slot = 0; slot < this.countSlots(); slot++) {
      if (!this.needsCopy(slot)) continue;
      if ((this.retryAtMs.get(slot) ?? nowMs) > nowMs) continue;
      const group = this.findGroup(slot);
      const expectedTokens = this.predictor.predictTokens(group);
      missing.push({slot, group, expectedTokens});
    }
    return missing;
  }

  private findGroup(slot: number): number {
    return Math.floor(slot / this.options.description.groupSize);
  }

  /** Tells whether a slot needs no work. */
  private isSettled(slot: number): boolean {
    if (this.acknowledged.has(slot)) return true;
    return this.ready.has(slot) || this.failed.has(slot);
  }

  /** Tells whether a slot has neither a sample nor a copy under way. */
  needsCopy(slot: number): boolean {
    return !this.isSettled(slot) && !this.copies.hasSlot(slot);
  }

  /** Starts a copy of a slot. */
  startCopy(slot: number, nowMs: number): SlotWork {
    const {groupSize, prompts} = this.options.description;
    const group = this.findGroup(slot);
    const {prompt, maxTokens} = prompts[group];
    return {
      copyId: this.copies.startCopy(slot, nowMs),
      slot,
      group,
      index: slot % groupSize,
      prompt,
      maxTokens,
      expectedTokens: Math.ceil(this.predictor.predictTokens(group)),
      minVersion: Math.max(0, this.newestVersion - this.readBound()),
    };
  }

  /** Adds tokens that a copy has generated; negative ones take back. */
  addTokens(copyId: number, tokens: number): void {
    this.copies.addTokens(copyId, tokens);
  }

  /** Notes that a copy is whole and only waits for its score. */
  markGenerated(copyId: number): void {
    this.copies.markGenerated(copyId);
  }

  /** Returns the number of copies that are being generated. */
  countInFlight(): number {
    return this.copies.count();
  }

  /** Takes a finished sample; the first whole one wins its slot. */
  addSample(copyId: number, sample: Sample, tokens: number): boolean {
    this.copies.endCopy(copyId);
    if (this.isSettled(sample.slot)) return false;
    this.predictor.observeLength(sample.group, tokens);
    this.ready.set(sample.slot, sample);
    return true;
  }

  /** Notes that a copy failed; its slot is not started before a time. */
  failCopy(copyId: number, retryAtMs: number): void {
    const copy = this.copies.endCopy(copyId);
    if (copy !== undefined) this.retryAtMs.set(copy.slot, retryAtMs);
  }

  /** Notes that a slot can have no sample, whoever generates it. */
  failSlot(copyId: number, kind: ErrorKind): void {
    const copy = this.copies.endCopy(copyId);
    if (copy !== undefined && !this.isSettled(copy.slot)) {
      this.failed.set(copy.slot, kind);
    }
  }

  /** Ends the copies whose slot has its sample, and returns them. */
  takeObsolete(): SlotCopy[] {
    const obsolete = this.copies
      .list()
      .filter(copy => this.isSettled(copy.slot));
    for (const copy of obsolete) this.copies.endCopy(copy.copyId);
    return obsolete;
  }

  /** Takes in a version that the trainer stated or published. */
  observeVersion(version: number): void {
    if (version <= this.newestVersion) return;
    this.newestVersion = version;
    if (this.firstVersion === undefined || this.sentCount === 0) return;
    this.samplesPerVersion = this.sentCount / (version - this.firstVersion);
  }

  /** Reads the cursor of a pull and takes it in, once a pull. */
  openPull(request: PullRequest): Result<OpenPull, ServiceError> {
    const decoded = DeliveredSet.decode(
      this.identityKey,
      this.countSlots(),
      request.cursor,
    );
    if (decoded.isErr()) return err(decoded.error);
    this.observeVersion(request.trainerVersion);
    this.firstVersion ??= this.newestVersion;
    this.applyCursor(decoded.value);
    const {maxSamples} = request;
    return ok({delivered: decoded.value, maxSamples});
  }

  /**
   * Forgets samples that the trainer has. A cursor that lacks acknowledged
   * slots is late, or comes from a trainer restored from a checkpoint; only
   * the second such cursor in a row opens those slots again.
   */
  private applyCursor(delivered: DeliveredSet): void {
    const isLagging = !delivered.hasAll(this.acknowledged);
    const isRestored = isLagging && this.isLagging;
    this.isLagging = isLagging && !isRestored;
    this.acknowledged =
      isLagging && !isRestored ? delivered.merge(this.acknowledged) : delivered;
    for (const slot of this.ready.keys()) {
      if (delivered.has(slot)) this.removeReady(slot);
    }
  }

  /**
   * Answers a pull with samples that its cursor does not hold, those first
   * that will be stale first.
   */
  answerPull(pull: OpenPull): PullReply {
    this.dropStale();
    const samples = [...this.ready.values()]
      .filter(sample => !pull.delivered.has(sample.slot))
      .sort(compareAge)
      .slice(0, pull.maxSamples);
    const slots = samples.map(sample => sample.slot);
    for (const slot of slots) this.sent.add(slot);
    const next = pull.delivered.addSlots(slots);
    const failed = this.listFailed(next);
    const delivered = next.count();
    this.sentCount = Math.max(this.sentCount, delivered);
    return {
      samples,
      cursor: next.encode(),
      delivered,
      total: this.countSlots(),
      complete: delivered + failed.length === this.countSlots(),
      droppedStale: this.droppedStale,
      version: this.newestVersion,
      failed,
    };
  }

  private removeReady(slot: number): void {
    this.ready.delete(slot);
    this.sent.delete(slot);
  }

  private listFailed(delivered: DeliveredSet): FailedSlot[] {
    return [...this.failed]
      .filter(([slot]) => !delivered.has(slot))
      .map(([slot, kind]) => ({slot, kind}));
  }

  private dropStale(): void {
    const bound = this.readBound();
    for (const [slot, sample] of this.ready) {
      if (!isStale(sample, this.newestVersion, bound)) continue;
      this.removeReady(slot);
      this.droppedStale += 1;
      this.droppedSlots.push(slot);
    }
  }

  /** Returns the slots whose sample was dropped since the last call. */
  takeDropped(): number[] {
    const slots = this.droppedSlots;
    this.droppedSlots = [];
    return slots;
  }

  /** Tells whether the trainer has acknowledged all that can be had. */
  isAcknowledged(): boolean {
    const failed = this.listFailed(this.acknowledged).length;
    return this.acknowledged.count() + failed === this.countSlots();
  }

  /**
   * Tells whether replies have carried all of the step. Its trainer may go on
   * to the next step without acknowledging the last of them.
   */
  private isSentWhole(): boolean {
    const settled = this.acknowledged.count() + this.ready.size;
    const isAllThere = settled + this.failed.size >= this.countSlots();
    return isAllThere && this.sent.size === this.ready.size;
  }

  /** Tells whether a sample of the slot waits to be pulled. */
  hasReady(slot: number): boolean {
    return this.ready.has(slot);
  }

  /** Returns the number of samples that wait to be pulled. */
  countReady(): number {
    return this.ready.size;
  }

  /** Checks that a description is the one that the step was opened with. */
  checkDescription(description: StepDescription): Result<void, ServiceError> {
    const {trainer, step} = this.options;
    const key = formatStepIdentity({trainer, step, description});
    if (key === this.identityKey) return ok(undefined);
    return err(createError('conflict', 'the step has another description'));
  }
}

function compareAge(a: Sample, b: Sample): number {
  return findOldestVersion(a.segments) - findOldestVersion(b.segments);
}
