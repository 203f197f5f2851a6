/** The moleculer broker of a daemon, which only manages the life cycle of the services in this process. */
import { ServiceBroker } from 'moleculer';

/** Creates a broker without transporter, logs or metrics. */
export function createBroker(): ServiceBroker {
  return new ServiceBroker({
    nodeID: 'daemon',
    transporter: null,
    logger: false,
    metrics: false,
    // Parameters are validated by their handlers; moleculer's validator would add 20 ms to the start.
    validator: false,
    internalServices: false,
    // Moleculer's signal handlers would exit the process before it has drained.
    skipProcessEventRegistration: true,
  });
}
