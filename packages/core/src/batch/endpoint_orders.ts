/** Orders of a plan to the agents of endpoints, with the reasons for the log. */
import type {LoadOrder, RunOrder} from './run_messages';
import type {ItemRank} from './start_plan';

/** Why an item was started; written to the log. */
export interface ItemStartReason {
  /** Group of the item. */
  readonly group: string;
  /** `leftover` is an item of an ended job that a later job probably has again. */
  readonly rank: ItemRank | 'leftover';
  readonly remainingTokens: number;
  /** Version of the endpoint's software, and that of the text so far, if any. */
  readonly software: string;
  readonly textSoftware: string | undefined;
  /** Time per token at the endpoint of a run without concurrent runs, in ms. */
  readonly msPerToken: number;
}

/** Orders for the agent of one endpoint. */
export interface EndpointOrders {
  readonly endpointId: string;
  readonly starts: RunOrder[];
  /** Reason for each start, in the order of the starts. */
  readonly reasons: ItemStartReason[];
  /** IDs of runs. */
  readonly stops: string[];
  readonly loads: LoadOrder[];
}

/** Collects orders by endpoint. */
export class OrderCollector {
  private readonly byEndpoint = new Map<string, EndpointOrders>();

  private constructor() {}

  static create(): OrderCollector {
    return new OrderCollector();
  }

  /** Returns the orders of an endpoint, to which the caller adds. */
  get(endpointId: string): EndpointOrders {
    const existing = this.byEndpoint.get(endpointId);
    if (existing !== undefined) return existing;
    const created: EndpointOrders = {
      endpointId,
      starts: [],
      reasons: [],
      stops: [],
      loads: [],
    };
    this.byEndpoint.set(endpointId, created);
    return created;
  }

  list(): EndpointOrders[] {
    return [...this.byEndpoint.values()];
  }
}
