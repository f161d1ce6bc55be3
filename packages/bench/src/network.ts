/** Simulated network with latency, and failure domains that can be lost. */
import type {RandomSource} from '@sassafrasspan/core';
import type {VirtualClock} from './virtual_clock';

const LOCAL_DELAY_MS = 0.3;
const JITTER_SHARE = 0.3;

/** Delivers messages between failure domains on the virtual clock. */
export class BenchNetwork {
  private readonly lostDomains = new Set<string>();

  private constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly domainLatencyMs: number,
  ) {}

  /** `domainLatencyMs` is the minimum delay between two failure domains. */
  static create(
    clock: VirtualClock,
    random: RandomSource,
    domainLatencyMs: number,
  ): BenchNetwork {
    return new BenchNetwork(clock, random, domainLatencyMs);
  }

  /** Delivers a message unless either end is lost at the time of arrival. */
  send(from: string, to: string, deliver: () => void): void {
    const minDelayMs = from === to ? LOCAL_DELAY_MS : this.domainLatencyMs;
    const delayMs = minDelayMs * (1 + JITTER_SHARE * this.random());
    this.clock.schedule(delayMs, () => {
      if (!this.lostDomains.has(from) && !this.lostDomains.has(to)) deliver();
    });
  }

  /** Disconnects a failure domain, or reconnects it. */
  setDomainLost(failureDomain: string, isLost: boolean): void {
    if (isLost) this.lostDomains.add(failureDomain);
    else this.lostDomains.delete(failureDomain);
  }

  /** Returns whether a failure domain is disconnected. */
  isDomainLost(failureDomain: string): boolean {
    return this.lostDomains.has(failureDomain);
  }
}
