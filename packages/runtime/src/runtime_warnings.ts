/** Writes the runtime's warnings to the log instead of standard error. */
import type {EventLog} from './log';

/** Logs the warnings that the runtime issues from now on. */
export function reportWarnings(log: EventLog): void {
  process.removeAllListeners('warning');
  process.on('warning', ({name, message}) => {
    log.writeEvent('process-warning', {name, detail: message});
  });
}
