/** The moleculer broker of a daemon: the life cycle of its services inside one process, and nothing beyond it. */
import { ServiceBroker } from 'moleculer';

/** A broker without transporter, logs or metrics of its own. */
export function quietBroker(): ServiceBroker {
  return new ServiceBroker({
    nodeID: 'daemon',
    transporter: null,
    logger: false,
    metrics: false,
    // Parameters are checked where they are read; moleculer's own validator takes 20 ms at the start.
    validator: false,
    internalServices: false,
    // Moleculer's own signal handlers would end the process before it has drained.
    skipProcessEventRegistration: true,
  });
}
