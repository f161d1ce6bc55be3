/**
 * One endpoint at its agent: its queue, its runs, its load and its weights.
 */
import {
  AdmissionQueue,
  Clock,
  EndpointCondition,
  EndpointDriver,
  EndpointLoad,
  EndpointReport,
  RunHandle,
} from '@sassafrasspan/core';
import {EngineClient} from '@sassafrasspan/engines';
import {ServiceClient} from '@sassafrasspan/services';
import type {EndpointSettings} from '../shared/settings_schemas';

const MAX_FAILED_LOAD_READS = 3;

const EMPTY_LOAD: EndpointLoad = {
  running: 0,
  waiting: 0,
  kvUsePermille: 0,
  weightVersion: undefined,
  tokensPerSecond: 0,
};

/** Builds the driver of each kind of endpoint. */
const DRIVERS: Record<
  EndpointSettings['kind'],
  (url: string) => EndpointDriver
> = {
  engine: url => EngineClient.create(url),
  plain: url => ServiceClient.create(url),
};

/** One endpoint of an agent. */
export class ManagedEndpoint {
  readonly queue: AdmissionQueue;
  readonly handles = new Map<string, RunHandle>();
  private load: EndpointLoad = EMPTY_LOAD;
  private failedLoadReads = MAX_FAILED_LOAD_READS;
  private isLeaving = false;
  private isSwapping = false;

  private constructor(
    readonly settings: EndpointSettings,
    readonly driver: EndpointDriver,
    clock: Clock,
  ) {
    this.queue = AdmissionQueue.create(settings, clock);
  }

  /** The endpoint counts as down until its load has been read. */
  static create(
    settings: EndpointSettings,
    clock: Clock,
    driver = DRIVERS[settings.kind](settings.url),
  ): ManagedEndpoint {
    return new ManagedEndpoint(settings, driver, clock);
  }

  /** Reads the endpoint's load once. */
  async refreshLoad(): Promise<void> {
    const load = await this.driver.readLoad();
    if (load.isOk()) {
      this.load = load.value;
      this.failedLoadReads = 0;
    } else {
      this.failedLoadReads += 1;
    }
  }

  /** Returns the weight version that the endpoint reports. */
  getWeightVersion(): number | undefined {
    return this.load.weightVersion;
  }

  /** Notes that the endpoint broke off its requests. */
  markCrashed(): void {
    this.failedLoadReads = MAX_FAILED_LOAD_READS;
  }

  /** Notes that the endpoint is leaving. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  /** Notes whether a swap is being activated. */
  setSwapping(isSwapping: boolean): void {
    this.isSwapping = isSwapping;
  }

  /** Returns what the endpoint is ready for. */
  getCondition(): EndpointCondition {
    if (this.isLeaving) return 'leaving';
    if (this.failedLoadReads >= MAX_FAILED_LOAD_READS) return 'down';
    if (this.isSwapping) return 'swapping';
    if (this.load.weightVersion === undefined) return 'unknown-version';
    return 'serving';
  }

  /** Describes the endpoint for heartbeats. */
  createReport(): EndpointReport {
    return {
      name: this.settings.name,
      service: this.settings.service,
      state: this.getCondition(),
      running: this.queue.countRunning(),
      queued: this.queue.countWaiting(),
      slots: this.settings.slots,
      kvUsePermille: this.load.kvUsePermille,
      weightVersion: this.load.weightVersion ?? 0,
      queuedTokens: this.queue.sumWaitingTokens(),
      tokensPerSecond: Math.round(this.load.tokensPerSecond),
    };
  }
}
