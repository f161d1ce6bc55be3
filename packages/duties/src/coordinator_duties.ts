/** The duties of the coordinator: started and stopped with its role. */
import {Clock, Scheduler, UsageCollection} from '@sassafrasspan/core';
import {ClusterWatch, PeerRoutes, createHandler} from '@sassafrasspan/peers';
import type {ObjectCollections} from '@sassafrasspan/platform';
import {EventLog, Metrics, waitMs} from '@sassafrasspan/runtime';
import {ok} from 'neverthrow';
import type {CloudPort} from './cloud_port';
import {DutyHolder} from './duty_holder';
import {USAGE_PATH, USAGE_PUSH_SCHEMA} from './usage_messages';
import {UsageReporter} from './usage_reporter';

/** Subject of the duty that reports usage. */
const USAGE_SUBJECT = 'usage';
/** Longest time that a release delays the hand-over of the role, in ms: a call
 * to the store times out after 800 ms. */
const MAX_RELEASE_MS = 1_500;

export interface CoordinatorDutiesOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly leaseMs: number;
  /** Length of a window, and the time after its end at which a report is due. */
  readonly windowMs: number;
  readonly dueMs: number;
  /** Calls that the cloud accepts per second from all nodes together. */
  readonly callsPerSecond: number;
  readonly cluster: ClusterWatch;
  readonly store: ObjectCollections;
  readonly cloud: CloudPort;
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly log: EventLog;
  readonly metrics: Metrics;
}

export class CoordinatorDuties {
  private readonly usage: UsageReporter;
  private readonly collection: UsageCollection;

  private constructor(private readonly options: CoordinatorDutiesOptions) {
    const {name: node} = options;
    this.collection = UsageCollection.create(options.windowMs);
    this.usage = UsageReporter.create({
      ...options,
      collection: this.collection,
      holder: DutyHolder.create({...options, node, subject: USAGE_SUBJECT}),
      listEntries: () =>
        options.cluster.listNodes('entry').map(entry => entry.name),
    });
  }

  static create(options: CoordinatorDutiesOptions): CoordinatorDuties {
    return new CoordinatorDuties(options);
  }

  /** Performs the duties until `stop` is called. */
  start(): void {
    this.usage.start();
  }

  /** Stops without a release; another node may have the role already. */
  stop(): void {
    this.usage.stop();
  }

  /** Stops and releases the duties at a planned stop. */
  async release(): Promise<void> {
    await Promise.race([this.usage.release(), waitMs(MAX_RELEASE_MS)]);
  }

  /** Takes in the customers of a new configuration. */
  setCustomers(names: readonly string[]): void {
    this.collection.setCustomers(names, this.options.clock.readMonotonicMs());
  }

  /** Returns the handler for the pushes of entries. */
  createRoutes(): PeerRoutes {
    const {incarnation, clock} = this.options;
    // What was received before stays known for the life of this process.
    return {
      [USAGE_PATH]: createHandler(USAGE_PUSH_SCHEMA, push => {
        const isComplete =
          push.receiver === undefined || push.receiver === incarnation;
        if (isComplete) this.collection.receive(push, clock.readMonotonicMs());
        return ok({receiver: incarnation, isComplete});
      }),
    };
  }

  /** Returns the fields of the status page. */
  describe(): object {
    return {duties: [this.usage.describe()]};
  }
}
