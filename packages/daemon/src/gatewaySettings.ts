/** Settings that the HTTP gateways of a daemon share. */

/** Settings of moleculer-web: the listen address, and no logging by moleculer-web itself. */
export function gatewaySettings(ip: string, port: number) {
  return { ip, port, logRequest: null, logResponse: null, log4XXResponses: false };
}
