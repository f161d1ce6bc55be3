/**
 * What the platform tells of a deployment: the operator's routes, registered
 * endpoints, named weight versions, and VMs that are to be emptied. An adapter
 * decodes it; the product decides what follows.
 */
import type {Configuration, EndpointEntry} from '@sassafrasspan/core';

/** A watch that was built and not started. */
export interface RunnableWatch {
  /** Follows until stopped. */
  run(): Promise<void>;
  stop(): void;
  /** Returns when the platform answered last, on the monotonic clock. */
  getLastAnswerAtMs(): number;
}

/** Takes what is registered of endpoints. */
export interface EndpointListener {
  /** All that are registered now. */
  readonly onListed: (entries: readonly EndpointEntry[]) => void;
  readonly onPut: (entry: EndpointEntry) => void;
  readonly onRemoved: (id: string) => void;
  /** A registration that names no endpoint. */
  readonly onInvalid: (id: string) => void;
  /** The store does not answer, or answers again. */
  readonly onStoreUnavailable: () => void;
  readonly onStoreAvailable: () => void;
}

/** Follows a deployment. */
export interface FleetSource {
  /** Follows configurations; each that can be read is handed on. */
  createRouteWatch(
    onDecoded: (configuration: Configuration) => void,
  ): RunnableWatch;
  createEndpointWatch(listener: EndpointListener): RunnableWatch;
  /** Follows the newest version of each model. */
  createVersionWatch(
    onNamed: (model: string, version: number) => void,
  ): RunnableWatch;
  /** Follows VMs that are to be emptied and have not been. */
  createRetirementWatch(onAsked: (vm: string) => void): RunnableWatch;
  /** States that a VM is empty; false when that was not taken. */
  finishRetirement(vm: string): Promise<boolean>;
}
