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
import {formatStepIdentity} from './step_run_ids';
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
export interface AcceptedPull {
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
  readRuleStalenessBound(): number | undefined;
}

/** One step at its home. */
export class StepState {
  /** Name of the step and of its exact description. */
  readonly identityKey: string;
  private readonly readySamples = new Map<number, Sample>();
  /** Ready samples that a reply has carried already. */
  private readonly sentSlots = new Set<number>();
  private readonly copies = SlotCopies.create();
  private readonly failedSlots = new Map<number, ErrorKind>();
  private readonly retryAtMsBySlot = new Map<number, number>();
  private readonly predictor: LengthPredictor;
  private acknowledgedSlots: DeliveredSet;
  private isLastCursorLagging = false;
  private droppedStale = 0;
  private droppedSlots: number[] = [];
  private newestVersion = 0;
  /** Newest version at the first pull. */
  private versionAtFirstPull: number | undefined;
  private sentCount = 0;
  private samplesPerVersion: number | undefined;

  private constructor(readonly options: StepOptions) {
    this.identityKey = formatStepIdentity(options);
    this.acknowledgedSlots = DeliveredSet.create(
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
  private readStalenessBound(): number {
    const {stalenessBound} = this.options;
    return Math.min(
      stalenessBound,
      this.options.readRuleStalenessBound() ?? Infinity,
    );
  }

  /** Returns the number of slots of the step. */
  countSlots(): number {
    const {prompts, groupSize} = this.options.description;
    return prompts.length * groupSize;
  }

  /** Describes what the step needs, for a policy. */
  describeDemand(idleWeight: number, nowMs: number): StepDemand {
    this.dropStaleSamples();
    const {groupSize} = this.options.description;
    return {
      stepName: this.getName(),
      idleWeight,
      stalenessBound: this.readStalenessBound(),
      trainerVersion: this.newestVersion,
      total: this.countSlots(),
      ready: this.isFullySent() ? 0 : this.readySamples.size,
      samplesPerVersion: this.samplesPerVersion,
      missing: this.listMissingSlots(nowMs),
      running: this.copies.describe(groupSize, group =>
        this.predictor.predictTokens(group),
      ),
    };
  }

  private listMissingSlots(nowMs: number): MissingSlot[] {
    const missing: MissingSlot[] = [];
    for (let slot = 0; slot < this.countSlots(); slot++) {
      if (!this.needsCopy(slot)) continue;
      if ((this.retryAtMsBySlot.get(slot) ?? nowMs) > nowMs) continue;
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
    if (this.acknowledgedSlots.has(slot)) return true;
    return this.readySamples.has(slot) || this.failedSlots.has(slot);
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
      minVersion: Math.max(0, this.newestVersion - this.readStalenessBound()),
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
    this.readySamples.set(sample.slot, sample);
    return true;
  }

  /** Notes that a copy failed; its slot is not started before a time. */
  failCopy(copyId: number, retryAtMs: number): void {
    const copy = this.copies.endCopy(copyId);
    if (copy !== undefined) this.retryAtMsBySlot.set(copy.slot, retryAtMs);
  }

  /** Notes that a slot can have no sample, whoever generates it. */
  failSlot(copyId: number, kind: ErrorKind): void {
    const copy = this.copies.endCopy(copyId);
    if (copy !== undefined && !this.isSettled(copy.slot)) {
      this.failedSlots.set(copy.slot, kind);
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
    if (this.versionAtFirstPull === undefined || this.sentCount === 0) return;
    this.samplesPerVersion =
      this.sentCount / (version - this.versionAtFirstPull);
  }

  /** Reads the cursor of a pull and takes it in, once a pull. */
  openPull(request: PullRequest): Result<AcceptedPull, ServiceError> {
    const decoded = DeliveredSet.decode(
      this.identityKey,
      this.countSlots(),
      request.cursor,
    );
    if (decoded.isErr()) return err(decoded.error);
    this.observeVersion(request.trainerVersion);
    this.versionAtFirstPull ??= this.newestVersion;
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
    const isLagging = !delivered.hasAll(this.acknowledgedSlots);
    const isRestored = isLagging && this.isLastCursorLagging;
    this.isLastCursorLagging = isLagging && !isRestored;
    this.acknowledgedSlots =
      isLagging && !isRestored
        ? delivered.merge(this.acknowledgedSlots)
        : delivered;
    for (const slot of this.readySamples.keys()) {
      if (delivered.has(slot)) this.removeReadySample(slot);
    }
  }

  /**
   * Answers a pull with samples that its cursor does not hold, those first
   * that will be stale first.
   */
  answerPull(pull: AcceptedPull): PullReply {
    this.dropStaleSamples();
    const samples = [...this.readySamples.values()]
      .filter(sample => !pull.delivered.has(sample.slot))
      .sort(compareOldestVersions)
      .slice(0, pull.maxSamples);
    const slots = samples.map(sample => sample.slot);
    for (const slot of slots) this.sentSlots.add(slot);
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

  private removeReadySample(slot: number): void {
    this.readySamples.delete(slot);
    this.sentSlots.delete(slot);
  }

  private listFailed(delivered: DeliveredSet): FailedSlot[] {
    return [...this.failedSlots]
      .filter(([slot]) => !delivered.has(slot))
      .map(([slot, kind]) => ({slot, kind}));
  }

  private dropStaleSamples(): void {
    const bound = this.readStalenessBound();
    for (const [slot, sample] of this.readySamples) {
      if (!isStale(sample, this.newestVersion, bound)) continue;
      this.removeReadySample(slot);
      this.droppedStale += 1;
      this.droppedSlots.push(slot);
    }
  }

  /** Returns the slots whose sample was dropped since the last call. */
  takeDroppedSlots(): number[] {
    const slots = this.droppedSlots;
    this.droppedSlots = [];
    return slots;
  }

  /** Tells whether the trainer has acknowledged all that can be had. */
  isAcknowledged(): boolean {
    const failed = this.listFailed(this.acknowledgedSlots).length;
    return this.acknowledgedSlots.count() + failed === this.countSlots();
  }

  /**
   * Tells whether replies have carried all of the step. Its trainer may go on
   * to the next step without acknowledging the last of them.
   */
  private isFullySent(): boolean {
    const settled = this.acknowledgedSlots.count() + this.readySamples.size;
    const isAllThere = settled + this.failedSlots.size >= this.countSlots();
    return isAllThere && this.sentSlots.size === this.readySamples.size;
  }

  /** Tells whether a sample of the slot waits to be pulled. */
  hasReadySample(slot: number): boolean {
    return this.readySamples.has(slot);
  }

  /** Returns the number of samples that wait to be pulled. */
  countReadySamples(): number {
    return this.readySamples.size;
  }

  /** Checks that a description is the one that the step was opened with. */
  checkDescription(description: StepDescription): Result<void, ServiceError> {
    const {trainer, step} = this.options;
    const key = formatStepIdentity({trainer, step, description});
    if (key === this.identityKey) return ok(undefined);
    return err(createError('conflict', 'the step has another description'));
  }
}

function compareOldestVersions(a: Sample, b: Sample): number {
  return findOldestVersion(a.segments) - findOldestVersion(b.segments);
}
