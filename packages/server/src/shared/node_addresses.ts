import type {ListenAddress} from '@sassafrasspan/runtime';

/** Addresses that a node prints as a line of JSON once it has started. */
export interface NodeAddresses {
  /** Where this node listens for calls of other nodes. */
  readonly peers: ListenAddress;
  /** Where this node serves its HTTP pages for operators. */
  readonly operators: ListenAddress;
}
