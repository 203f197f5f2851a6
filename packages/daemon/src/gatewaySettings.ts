/** What both HTTP sides of a daemon have in common. */

/** Settings of moleculer-web: where to listen, and no logging of its own. */
export function gatewaySettings(ip: string, port: number) {
  return { ip, port, logRequest: null, logResponse: null, log4XXResponses: false };
}
