import type {ListenAddress} from '@sassafrasspan/runtime';

/** Addresses that a node prints as a line of JSON once it has started. */
export interface NodeAddresses {
  readonly peers: ListenAddress;
  readonly operators: ListenAddress;
}
