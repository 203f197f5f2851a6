/** Tells errors of connecting from those of a connection that was open: only after the former is it certain that nothing was sent. */

const CONNECT_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'];
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Whether a connection could not be opened. The network may also report a host unreachable while a request is running there. */
export function isConnectFailure(error: unknown): boolean {
  const { code, syscall } = error as { code?: string; syscall?: string };
  if (code === CONNECT_TIMEOUT_CODE) return true;
  return syscall === 'connect' && code !== undefined && CONNECT_CODES.includes(code);
}
