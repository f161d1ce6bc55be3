/** Scenarios of the benchmark: load, failures and slow endpoints. */

/** Part of a run; both ends are shares of the run's length after warm-up. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** Load and faults that a run applies to a deployment. */
export interface Scenario {
  readonly name: string;
  /** Serving load of the plain pool, as a share of its capacity. */
  readonly plainLoad: number;
  /** Serving load of the engine pool, as a share of its capacity. */
  readonly engineLoad: number;
  readonly hasRollouts: boolean;
  /** Part of the run in which the deployment's last failure domain is lost. */
  readonly lostDomain?: Span;
  /** Indexes of the slow endpoints of each pool. */
  readonly slowEndpoints: readonly number[];
  /**
   * Part of the run in which the object API is down: versions cannot be
   * published, and load reports arrive late.
   */
  readonly platformDown?: Span;
}

const CALM: Scenario = {
  name: 'calm',
  plainLoad: 0.6,
  engineLoad: 0.1,
  hasRollouts: true,
  slowEndpoints: [],
};
const MIDDLE_THIRD: Span = {from: 1 / 3, to: 2 / 3};

/** The scenarios in the order of the report. */
export const SCENARIOS: readonly Scenario[] = [
  CALM,
  {...CALM, name: 'serving-alone', hasRollouts: false},
  {...CALM, name: 'at-capacity', plainLoad: 1, engineLoad: 1},
  {...CALM, name: 'overload-1.3', plainLoad: 1.3, engineLoad: 1.3},
  {...CALM, name: 'domain-lost', lostDomain: MIDDLE_THIRD},
  {...CALM, name: 'stragglers', slowEndpoints: [1]},
  {...CALM, name: 'platform-down', platformDown: MIDDLE_THIRD},
];
