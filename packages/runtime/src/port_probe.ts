/** Finds out whether a process listens at an address. */
import {connect} from 'node:net';
import type {PeerAddress} from './peer_address';

/**
 * Opens a connection and closes it. Returns true if it is accepted, false if
 * nothing listens at the port, and undefined if the address can't be reached.
 */
export function isListening(
  {host, port}: PeerAddress,
  timeoutMs: number,
): Promise<boolean | undefined> {
  return new Promise(resolve => {
    const socket = connect({host, port});
    const end = (result: boolean | undefined) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => end(undefined), timeoutMs);
    socket.once('connect', () => end(true));
    socket.on('error', (error: NodeJS.ErrnoException) =>
      end(error.code === 'ECONNREFUSED' ? false : undefined),
    );
  });
}
