/** The platform's table service and object store, as this project uses them. */
export {
  type CommitResult,
  type ObjectStore,
  type Precondition,
  type Row,
  type RowWrite,
  type Table,
} from './platform.js';
export { HttpPlatform } from './httpPlatform.js';
