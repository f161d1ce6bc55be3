/**
 * The state of one rollout step at the entry that owns it: which slots still
 * need a sample, which are being generated, and which wait to be pulled.
 *
 * The trainer's cursor is authoritative for what the trainer has received.
 * This state only records which slots need no more work, and may be lost at
 * any time.
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

/** What is needed to generate one copy of a slot. */
export interface SlotWork {
  readonly copyId: number;
  readonly slot: number;
  readonly group: number;
  readonly index: number;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly expectedTokens: number;
  /** Oldest weight version within the staleness bound. */
  readonly minVersion: number;
}

/** A trainer's request for samples. */
export interface PullRequest {
  readonly cursor: string;
  /** Current weight version of the trainer. */
  readonly trainerVersion: number;
  readonly maxSamples: number;
}

/** A pull whose cursor has been applied; it may stay open for a while. */
export interface AcceptedPull {
  readonly delivered: DeliveredSet;
  readonly maxSamples: number;
}

export interface StepOptions {
  readonly trainer: string;
  readonly step: string;
  readonly customer: string;
  readonly service: string;
  readonly description: StepDescription;
  /** Largest lag in versions at delivery, as the trainer requested it. */
  readonly stalenessBound: number;
  /** Returns the bound of the current rules; undefined if they set none. */
  readRuleStalenessBound(): number | undefined;
}

/** One step at its owner. */
export class StepState {
  /** Identifies the step and its exact description. */
  readonly identityKey: string;
  private readonly readySamples = new Map<number, Sample>();
  /** Ready samples that a reply has already carried. */
  private readonly sentSlots = new Set<number>();
  private readonly copies = SlotCopies.create();
  private readonly failedSlots = new Map<number, ErrorKind>();
  private readonly retryAtMsBySlot = new Map<number, number>();
  private readonly predictor: LengthPredictor;
  private acknowledgedSlots: DeliveredSet;
  /** Whether the last cursor lacked acknowledged slots. */
  private isLastCursorLagging = false;
  private droppedStale = 0;
  private droppedSlots: number[] = [];
  private newestVersion = 0;
  /** Newest version at the first pull. */
  private versionAtFirstPull: number | undefined;
  /** Largest number of slots that a reply reported as delivered. */
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

  static create(options: StepOptions): StepState {
    return new StepState(options);
  }

  /** Returns the step's name as `formatStepName` does. */
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

  countSlots(): number {
    const {prompts, groupSize} = this.options.description;
    return prompts.length * groupSize;
  }

  /** Drops stale samples and describes what the step needs, for a policy. */
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

  /** Returns whether a slot needs no more work. */
  private isSettled(slot: number): boolean {
    if (this.acknowledgedSlots.has(slot)) return true;
    return this.readySamples.has(slot) || this.failedSlots.has(slot);
  }

  /** Returns whether a slot is not settled and has no running copy. */
  needsCopy(slot: number): boolean {
    return !this.isSettled(slot) && !this.copies.hasSlot(slot);
  }

  /** Records the start of a copy and returns what is needed to generate it. */
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

  /** Adds generated tokens; a negative number removes discarded ones. */
  addTokens(copyId: number, tokens: number): void {
    this.copies.addTokens(copyId, tokens);
  }

  /** Records that a copy's answer is complete and awaits its score. */
  markGenerated(copyId: number): void {
    this.copies.markGenerated(copyId);
  }

  /** Returns the number of running copies, those awaiting a score included. */
  countInFlight(): number {
    return this.copies.count();
  }

  /**
   * Stores the finished sample of a copy. Returns false if the slot is already
   * settled: the first complete sample wins.
   */
  addSample(copyId: number, sample: Sample, tokens: number): boolean {
    this.copies.endCopy(copyId);
    if (this.isSettled(sample.slot)) return false;
    this.predictor.observeLength(sample.group, tokens);
    this.readySamples.set(sample.slot, sample);
    return true;
  }

  /** Ends a failed copy; its slot is not restarted before `retryAtMs`. */
  failCopy(copyId: number, retryAtMs: number): void {
    const copy = this.copies.endCopy(copyId);
    if (copy !== undefined) this.retryAtMsBySlot.set(copy.slot, retryAtMs);
  }

  /** Ends a copy and fails its slot, which would fail at every endpoint. */
  failSlot(copyId: number, kind: ErrorKind): void {
    const copy = this.copies.endCopy(copyId);
    if (copy !== undefined && !this.isSettled(copy.slot)) {
      this.failedSlots.set(copy.slot, kind);
    }
  }

  /** Ends and returns the copies of settled slots. */
  takeObsolete(): SlotCopy[] {
    const obsolete = this.copies
      .list()
      .filter(copy => this.isSettled(copy.slot));
    for (const copy of obsolete) this.copies.endCopy(copy.copyId);
    return obsolete;
  }

  /** Records a version that the trainer reported or published. */
  observeVersion(version: number): void {
    if (version <= this.newestVersion) return;
    this.newestVersion = version;
    if (this.versionAtFirstPull === undefined || this.sentCount === 0) return;
    this.samplesPerVersion =
      this.sentCount / (version - this.versionAtFirstPull);
  }

  /** Decodes and applies the cursor of a pull. Call it once per pull. */
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
   * Removes the samples that the trainer has received. A cursor that lacks
   * acknowledged slots comes from a late pull or from a trainer restored from
   * a checkpoint; only the second such cursor in a row reopens these slots.
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
   * Returns samples that the pull's cursor does not contain, those with the
   * oldest version first, since they become stale first.
   */
  answerPull(pull: AcceptedPull): PullReply {
    this.dropStaleSamples();
    const samples = [...this.readySamples.values()]
      .filter(sample => !pull.delivered.has(sample.slot))
      .sort(compareOldestVersions)
      .slice(0, pull.maxSamples);
    const slots = samples.map(sample => sample.slot);
    for (const slot of slots) this.sentSlots.add(slot);
    const nextDelivered = pull.delivered.addSlots(slots);
    const failed = this.listFailed(nextDelivered);
    const delivered = nextDelivered.count();
    this.sentCount = Math.max(this.sentCount, delivered);
    return {
      samples,
      cursor: nextDelivered.encode(),
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

  /** Returns the slots whose samples became stale since the last call. */
  takeDroppedSlots(): number[] {
    const slots = this.droppedSlots;
    this.droppedSlots = [];
    return slots;
  }

  /** Returns whether every slot has been acknowledged or has failed. */
  isAcknowledged(): boolean {
    const failed = this.listFailed(this.acknowledgedSlots).length;
    return this.acknowledgedSlots.count() + failed === this.countSlots();
  }

  /**
   * Returns whether replies have carried the entire step. The trainer may then
   * continue with the next step without acknowledging the last reply.
   */
  private isFullySent(): boolean {
    const sampled = this.acknowledgedSlots.count() + this.readySamples.size;
    const areAllSettled = sampled + this.failedSlots.size >= this.countSlots();
    return areAllSettled && this.sentSlots.size === this.readySamples.size;
  }

  /** Returns whether a sample of the slot waits to be pulled. */
  hasReadySample(slot: number): boolean {
    return this.readySamples.has(slot);
  }

  /** Returns the number of samples that wait to be pulled. */
  countReadySamples(): number {
    return this.readySamples.size;
  }

  /** Fails with 'conflict' unless the step was opened with this description. */
  checkDescription(description: StepDescription): Result<void, ServiceError> {
    const {trainer, step} = this.options;
    const key = formatStepIdentity({trainer, step, description});
    if (key === this.identityKey) return ok(undefined);
    return err(
      createError(
        'conflict',
        'the step was opened with a different description',
      ),
    );
  }
}

function compareOldestVersions(a: Sample, b: Sample): number {
  return findOldestVersion(a.segments) - findOldestVersion(b.segments);
}
