/**
 * Counts good and bad events of promises (service-level objectives) at the
 * interface to callers and trainers, so that burn (the error-budget burn rate)
 * reflects what they experienced, whatever happened behind the interface.
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

/** Steps whose start time is stored; the oldest are evicted first. */
const MAX_TRACKED_STEPS = 4_096;

export interface MeasuredBackendsOptions {
  readonly burn: BurnTracker;
  readonly latencies: LatencyHistograms;
  readonly rules: RulesHolder;
  readonly fleet: FleetView;
  readonly clock: Clock;
}

/** A published version that some engine of its service does not run yet. */
interface PendingVersion {
  readonly service: string;
  readonly version: number;
  readonly publishedAtMs: number;
}

/** Wraps the backends of an entry and records the results that they return. */
export class MeasuredBackends {
  /** Time of each step's first call; undefined once the step is complete. */
  private readonly stepStartsMs = new Map<string, number | undefined>();
  private pendingVersions: PendingVersion[] = [];

  private constructor(private readonly options: MeasuredBackendsOptions) {}

  static create(options: MeasuredBackendsOptions): MeasuredBackends {
    return new MeasuredBackends(options);
  }

  /** Wraps the backend for callers: records each call's latency and result. */
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

  /** Wraps the backend for trainers: records samples, steps and versions. */
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
    const startedAtMs = this.stepStartsMs.get(key);
    if (!reply.complete || startedAtMs === undefined) return;
    this.stepStartsMs.set(key, undefined);
    const durationMs = clock.readMonotonicMs() - startedAtMs;
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

  /** Records published versions that every engine runs or that are overdue. */
  advance(): void {
    const nowMs = this.options.clock.readMonotonicMs();
    this.pendingVersions = this.pendingVersions.filter(
      item => !this.recordIfFinished(item, nowMs),
    );
  }

  /** Records a version if it is finished; returns whether it was. */
  private recordIfFinished(item: PendingVersion, nowMs: number): boolean {
    const {burn, fleet, rules, clock} = this.options;
    const {service, version, publishedAtMs} = item;
    const ageMs = nowMs - publishedAtMs;
    const engines = fleet.listEndpoints(service, nowMs);
    const isEverywhere =
      engines.length > 0 &&
      engines.every(engine => engine.weightVersion >= version);
    const bounds = rules.getRuleSet()?.listRules('weights-within') ?? [];
    const bound = bounds.find(rule => rule.service === service);
    const isOverdue = bound === undefined || ageMs > bound.withinMs;
    if (!isEverywhere && !isOverdue) return false;
    burn.recordWeights(service, ageMs, clock.readWallMs());
    return true;
  }
}
