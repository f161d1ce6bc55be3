/** Addresses that nodes print when they have started. */
import type {ListenAddress} from '@sassafrasspan/runtime';

/** Addresses in use by a started node. */
export interface NodeAddresses {
  readonly peers: ListenAddress;
  readonly operators: ListenAddress;
}
