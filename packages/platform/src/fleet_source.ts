/**
 * The interface through which this service watches its deployment on the
 * platform: the operator's configuration of routes, registered endpoints,
 * published weight versions and VMs that are to be retired. An adapter for the
 * platform implements it and decodes the platform's objects.
 */
import type {Configuration, EndpointEntry} from '@sassafrasspan/core';

/** A watch that has to be started with `run`. */
export interface RunnableWatch {
  /** Watches until `stop` is called. */
  run(): Promise<void>;
  stop(): void;
  /**
   * Returns the time of the platform's last successful answer on the monotonic
   * clock; -Infinity before the first.
   */
  getLastAnswerAtMs(): number;
}

/** Receives changes of the registered endpoints. */
export interface EndpointListener {
  /** Receives all registered endpoints. */
  readonly onListed: (entries: readonly EndpointEntry[]) => void;
  readonly onPut: (entry: EndpointEntry) => void;
  readonly onRemoved: (id: string) => void;
  /** Receives the id of a registration that cannot be decoded. */
  readonly onInvalid: (id: string) => void;
  /** Called when the platform's object store becomes unavailable. */
  readonly onStoreUnavailable: () => void;
  /** Called when the platform's object store is available again. */
  readonly onStoreAvailable: () => void;
}

/** Creates watches of a deployment. */
export interface FleetSource {
  /** Watches configurations; invalid ones are skipped. */
  createRouteWatch(
    onConfiguration: (configuration: Configuration) => void,
  ): RunnableWatch;
  createEndpointWatch(listener: EndpointListener): RunnableWatch;
  /** Watches the newest published weight version of each model. */
  createVersionWatch(
    onPublished: (model: string, version: number) => void,
  ): RunnableWatch;
  /**
   * Watches requests to drain a VM before its retirement; those that have been
   * completed with `reportDrained` are skipped.
   */
  createRetirementWatch(onRequested: (vm: string) => void): RunnableWatch;
  /** Reports that a VM is drained; returns false if the report failed. */
  reportDrained(vm: string): Promise<boolean>;
}
