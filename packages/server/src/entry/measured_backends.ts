/**
 * Counts the events of promises where callers and trainers meet the entry, so
 * that burn is what they saw, whatever the parts behind did.
 */
import {
  AnswerSink,
  CallerBackend,
  CallerRequest,
  DispatchHandle,
  observeEnd,
} from '@sassafrasspan/callers';
import {
  BurnTracker,
  Clock,
  ErrorKind,
  FleetView,
  PullReply,
  RulesHolder,
} from '@sassafrasspan/core';
import type {LatencyHistograms} from '@sassafrasspan/runtime';
import type {StepName, TrainerBackend} from '@sassafrasspan/trainers';

const MAX_TRACKED_STEPS = 4_096;

/** What the measuring is built from. */
export interface MeasuredBackendsOptions {
  readonly burn: BurnTracker;
  readonly latencies: LatencyHistograms;
  readonly rules: RulesHolder;
  readonly fleet: FleetView;
  readonly clock: Clock;
}

/** A published version that not every engine runs yet. */
interface PendingVersion {
  readonly service: string;
  readonly version: number;
  readonly publishedAtMs: number;
}

/** Wraps the backends of an entry and counts what they answer. */
export class MeasuredBackends {
  /** When a step was first heard of; undefined once it is complete. */
  private readonly stepStartsMs = new Map<string, number | undefined>();
  private pendingVersions: PendingVersion[] = [];

  private constructor(private readonly options: MeasuredBackendsOptions) {}

  /** Builds a measuring without events. */
  static create(options: MeasuredBackendsOptions): MeasuredBackends {
    return new MeasuredBackends(options);
  }

  /** Wraps the backend of serving callers. */
  measureCallers(inner: CallerBackend): CallerBackend {
    return {
      authenticate: keySha256 => inner.authenticate(keySha256),
      dispatch: (request, sink) => this.dispatchCall(inner, request, sink),
    };
  }

  private dispatchCall(
    inner: CallerBackend,
    request: CallerRequest,
    sink: AnswerSink,
  ): DispatchHandle {
    const startedMs = this.options.clock.readMonotonicMs();
    const recordEnd = (kind: ErrorKind | undefined) => {
      const {customer, service} = request;
      const durationMs = this.options.clock.readMonotonicMs() - startedMs;
      const nowMs = this.options.clock.readWallMs();
      const call = {customer, service, durationMs, kind};
      this.options.burn.recordCall(call, nowMs);
      this.options.latencies.recordMs(`${customer} ${service}`, durationMs);
    };
    return inner.dispatch(
      request,
      observeEnd(sink, error => recordEnd(error?.kind)),
    );
  }

  /** Wraps the backend of trainers. */
  measureTrainers(inner: TrainerBackend): TrainerBackend {
    return {
      authenticate: keySha256 => inner.authenticate(keySha256),
      putStep: async (name, description) => {
        const reply = await inner.putStep(name, description);
        if (reply.isOk()) this.trackStep(name);
        return reply;
      },
      pullSamples: async (name, pull) => {
        const reply = await inner.pullSamples(name, pull);
        if (reply.isOk()) {
          this.recordPull(name, pull.trainerVersion, reply.value);
        }
        return reply;
      },
      publishVersion: async item => {
        const reply = await inner.publishVersion(item);
        if (reply.isOk() && !item.isAnnouncement) {
          this.trackVersion(item.trainer, item.version);
        }
        return reply;
      },
    };
  }

  private trackStep(name: StepName): string {
    const key = `${name.trainer}/${name.step}`;
    if (this.stepStartsMs.has(key)) return key;
    this.stepStartsMs.set(key, this.options.clock.readMonotonicMs());
    if (this.stepStartsMs.size > MAX_TRACKED_STEPS) {
      const [oldest] = this.stepStartsMs.keys();
      this.stepStartsMs.delete(oldest);
    }
    return key;
  }

  private recordPull(
    name: StepName,
    trainerVersion: number,
    reply: PullReply,
  ): void {
    const {burn, clock} = this.options;
    const ages = reply.samples.map(sample => {
      const versions = sample.segments.map(segment => segment.version);
      return trainerVersion - Math.min(...versions);
    });
    const nowMs = clock.readWallMs();
    burn.recordSamples(name.trainer, ages, nowMs);
    const key = this.trackStep(name);
    const heardAtMs = this.stepStartsMs.get(key);
    if (!reply.complete || heardAtMs === undefined) return;
    this.stepStartsMs.set(key, undefined);
    const durationMs = clock.readMonotonicMs() - heardAtMs;
    burn.recordStep(name.trainer, durationMs, nowMs);
  }

  private trackVersion(trainer: string, version: number): void {
    const service = this.options.rules
      .getRuleSet()
      ?.findTrainer(trainer)?.service;
    if (service === undefined) return;
    const publishedAtMs = this.options.clock.readMonotonicMs();
    this.pendingVersions = this.pendingVersions.filter(
      item => item.service !== service,
    );
    this.pendingVersions.push({service, version, publishedAtMs});
  }

  /** Settles published versions: run by every engine, or overdue. */
  advance(): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.pendingVersions = this.pendingVersions.filter(
      item => !this.recordIfFinished(item, nowMs),
    );
  }

  private recordIfFinished(item: PendingVersion, nowMs: number): boolean {
    const {burn, fleet, rules, clock} = this.options;
    const {service, version, publishedAtMs} = item;
    const ageMs = nowMs - publishedAtMs;
    const engines = fleet.listEndpoints(service, nowMs);
    const isEverywhere =
      engines.length > 0 && engines.every(one => one.weightVersion >= version);
    const bounds = rules.getRuleSet()?.listRules('weights-within') ?? [];
    const bound = bounds.find(rule => rule.service === service);
    const isOverdue = bound === undefined || ageMs > bound.withinMs;
    if (!isEverywhere && !isOverdue) return false;
    burn.recordWeights(service, ageMs, clock.readWallMs());
    return true;
  }
}
