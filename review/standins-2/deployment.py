"""The operator's files of a small deployment with the MySQL front: the settings of deploy/mysql.toml, and those of
deploy/access.toml for callers who log in by password."""

USER, PASSWORD = "records", "secret"

TEMPLATE = """
name = "records-1"
seed = "8c1f30d27a5be964"
link = "mysql"
shared_folder = "{folder}"
[limits]
memory_mb = 192
sockets = 1024
[mysql]
listen = "127.0.0.1:{port}"
{passed}
read_class = "lookup"
load_class = "load"
read_deadline_ms = 3000
load_deadline_ms = 25000
[mysql.users]
{users}
[mysql_engines]
user = "rookproxy"
password = "engine-secret"
schema = ""
{engines}
{access}
[log]
level = "info"
[settings]
fleet_size = 1
ordinal = 0
localities = ["addis-dc1"]
zone = "addis-dc1"
models = ["engine-a"]
membership_mode = "automatic"
[[settings.grades]]
name = "lookup"
effect = "pure"
value = 1.0
target = 600000
aim_stretch = 1.5
deadline = 3000000
late_worth = 0.1
[[settings.grades]]
name = "load"
effect = "side_effect"
value = 6.0
target = 4000000
aim_stretch = 2.5
deadline = 25000000
late_worth = 0.5
[settings.domain]
cpu_of_kind = [8]
ram_of_kind_mb = [16384.0]
threads_by_class = [1, 2]
is_load = [false, true]
yields_to_loads = [true, false]
[settings.permissions]
cancel = true
probes = true
second_copies = true
max_attempts = 6
max_retry_after = 2000000
keepalive = 30000000
dial_timeout = 250000
[settings.report]
source = "off"
[settings.safety]
drain_grace = 2000000
grace_to_answer = 20000
"""

ROLES = """
[[access.roles]]
name = "officer"
classes = ["*"]
writes = true
"""

CALLER = """
[[access.tenants]]
name = "{name}"
schemas = ["{name}"]
[[access.users]]
name = "{name}"
tenant = "{name}"
roles = ["officer"]
"""

ENGINE = """
[[engines]]
id = "{name}"
host_port = "127.0.0.1:{port}"
locality = "addis-dc1"
flavor = "engine-a"
phase = "{phase}"
"""


AGENT = """
socket = "{folder}/agent.sock"
[[instances]]
name = "records-1"
command = ["build/rookproxy", "--file", "{file}"]
autostart = true
listen = ["127.0.0.1:{port}"]
ops = ["127.0.0.1:{ops[0]}", "127.0.0.1:{ops[1]}"]
[log]
level = "info"
"""


def agents_file(folder, file, port, ops):
    """The settings of deploy/agent.toml. `ops`: two ports."""
    return AGENT.format(folder=folder, file=file, port=port, ops=ops)


def operators_file(port, engines, callers=(), folder="/tmp", passed=False):
    """`engines`: a list of (name, port, phase). `callers`: where callers are identified, their names; each is a tenant
    whose only schema has the same name. All passwords are the same. `passed`: whether an agent holds the socket."""
    listed = "".join(ENGINE.format(name=name, port=at, phase=phase) for name, at, phase in engines)
    access = "" if not callers else ROLES + "".join(CALLER.format(name=name) for name in callers)
    users = "\n".join(f'{name} = "{PASSWORD}"' for name in callers or [USER])
    return TEMPLATE.format(port=port, users=users, engines=listed, access=access, folder=folder,
                           passed="passed_socket = 3" if passed else "")
