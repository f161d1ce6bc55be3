/** The deployments that the benchmark simulates. */

/** Settings of a trainer. */
export interface TrainerPlan {
  readonly name: string;
  /**
   * How much the trainer prefers low idle time to low staleness, from 0 to 1.
   * At 1 only idle time matters.
   */
  readonly idleWeight: number;
  /** Maximum age of a sample at delivery, in weight versions. */
  readonly stalenessBound: number;
}

/** A pool of endpoints of one service. */
export interface PoolPlan {
  readonly service: string;
  readonly kind: 'engine' | 'plain';
  /** Failure domain of each endpoint; the pool has one endpoint per item. */
  readonly domains: readonly string[];
  /** Customer that sends the serving calls. */
  readonly customer: string;
  /** Service-level objective for the p99 latency of serving calls, in ms. */
  readonly promisedP99Ms: number;
  /** Time in ms after which a caller gives up; the limit for goodput. */
  readonly budgetMs: number;
}

export interface Deployment {
  readonly name: string;
  readonly domains: readonly string[];
  /** One-way latency between failure domains. */
  readonly domainLatencyMs: number;
  /** One-way latency between a caller and an entry. */
  readonly clientLatencyMs: number;
  /** Failure domain whose links to the others are costly. */
  readonly costlyDomain: string;
  readonly enginePool: PoolPlan;
  readonly plainPool: PoolPlan;
  readonly trainers: readonly TrainerPlan[];
}

const ATTICA = ['attica-a', 'attica-b', 'attica-c', 'attica-d'];
const [LEOBEN, GRAZ, KAPFENBERG] = [
  'leoben-main',
  'graz-data',
  'kapfenberg-dr',
];

/** The deployments in the order of the report. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'kyklos',
    domains: ATTICA,
    domainLatencyMs: 3.5,
    clientLatencyMs: 1,
    costlyDomain: 'attica-d',
    enginePool: {
      service: 'briefing-lm',
      kind: 'engine',
      domains: [...ATTICA, ...ATTICA],
      customer: 'venues',
      promisedP99Ms: 10_000,
      budgetMs: 20_000,
    },
    plainPool: {
      service: 'booking-app',
      kind: 'plain',
      domains: ATTICA,
      customer: 'venues',
      promisedP99Ms: 500,
      budgetMs: 1_000,
    },
    trainers: [
      {name: 'briefings', idleWeight: 0.8, stalenessBound: 8},
      {name: 'swaps', idleWeight: 0.8, stalenessBound: 8},
    ],
  },
  {
    name: 'leoben',
    domains: [LEOBEN, GRAZ, KAPFENBERG],
    domainLatencyMs: 4,
    clientLatencyMs: 3,
    costlyDomain: KAPFENBERG,
    enginePool: {
      service: 'critique-llm',
      kind: 'engine',
      domains: [LEOBEN, LEOBEN, LEOBEN, LEOBEN, GRAZ, GRAZ, GRAZ, KAPFENBERG],
      customer: 'juries',
      promisedP99Ms: 10_000,
      budgetMs: 20_000,
    },
    plainPool: {
      service: 'folio-web',
      kind: 'plain',
      domains: [LEOBEN, GRAZ, KAPFENBERG],
      customer: 'juries',
      promisedP99Ms: 500,
      budgetMs: 1_000,
    },
    trainers: [
      {name: 'drapery', idleWeight: 0.2, stalenessBound: 6},
      {name: 'tailoring', idleWeight: 0.2, stalenessBound: 6},
    ],
  },
];
