/** The two deployments that the benchmark runs, at their own sizes. */

/** One trainer of a deployment. */
export interface TrainerPlan {
  readonly name: string;
  /** Weight of idle time against staleness, 1 for idle time alone. */
  readonly idleWeight: number;
  /** Largest lag in versions at delivery. */
  readonly stalenessBound: number;
}

/** One pool of a deployment. */
export interface PoolPlan {
  readonly service: string;
  readonly kind: 'engine' | 'plain';
  /** Failure domain of each endpoint. */
  readonly domains: readonly string[];
  /** Customer of the serving calls. */
  readonly customer: string;
  /** Promised p99 of serving calls in ms. */
  readonly promisedP99Ms: number;
  /** Time after which a caller gives up, in ms. */
  readonly budgetMs: number;
}

/** A deployment: failure domains, latencies, pools and trainers. */
export interface Deployment {
  readonly name: string;
  readonly domains: readonly string[];
  readonly domainLatencyMs: number;
  readonly clientLatencyMs: number;
  /** Failure domain behind costly links. */
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

/** The deployments by the order of the report. */
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
