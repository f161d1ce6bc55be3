/** Delays between failure domains, and failure domains that are cut off. */
import type {RandomSource} from '@sassafrasspan/core';
import type {VirtualClock} from './virtual_clock';

const LOCAL_DELAY_MS = 0.3;
const JITTER_SHARE = 0.3;

/** The network of a deployment. */
export class BenchNetwork {
  private readonly lostDomains = new Set<string>();

  private constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly domainLatencyMs: number,
  ) {}

  /** Builds a whole network. */
  static create(
    clock: VirtualClock,
    random: RandomSource,
    domainLatencyMs: number,
  ): BenchNetwork {
    return new BenchNetwork(clock, random, domainLatencyMs);
  }

  /** Delivers a message unless an end is cut off on arrival. */
  send(from: string, to: string, deliver: () => void): void {
    const base = from === to ? LOCAL_DELAY_MS : this.domainLatencyMs;
    const delayMs = base * (1 + JITTER_SHARE * this.random());
    this.clock.schedule(delayMs, () => {
      if (!this.lostDomains.has(from) && !this.lostDomains.has(to)) deliver();
    });
  }

  /** Cuts a failure domain off, or heals it. */
  setDomainLost(failureDomain: string, isLost: boolean): void {
    if (isLost) this.lostDomains.add(failureDomain);
    else this.lostDomains.delete(failureDomain);
  }

  /** Tells whether a failure domain is cut off. */
  isDomainLost(failureDomain: string): boolean {
    return this.lostDomains.has(failureDomain);
  }
}
